package entry

import (
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
	"laburnumvane/io/meter"
)

// A request may crash the servers that run it, and comes again, at any VM. What one arrival
// did is kept, and told to the other VMs, so that the next ones are refused.

// suspicion tells, and notes, what is thought of a request that came.
func (en *Entry) suspicion(rq *request) poison.State {
	if en.cfg.Poison.Empty() {
		return poison.Clear
	}
	st, refresh := en.cfg.Poison.Arrive(en.cfg.Clock(), rq.fingerprint())
	if refresh.Share {
		en.cfg.Share(refresh)
	}
	rq.suspect = st == poison.Suspect
	return st
}

// block refuses a request that crashes servers. It did not run, and comes to no server as
// long as it keeps coming; it is tried again after it stayed away.
func (en *Entry) block(rq *request) *response {
	rs := own(consts.StatusServiceUnavailable, fanout.ReasonCrashes, "servers that run this request crash")
	rs.comeBack(poison.BlockFor)
	en.cfg.Meter.Count(meter.Refusal, fanout.ReasonCrashes)
	en.cfg.Log.Info().Str("id", rq.id).Str("host", rq.host).Str("path", rq.path).
		Str("fingerprint", rq.fingerprint().String()).Int("status", rs.status).
		Str("reason", fanout.ReasonCrashes).Uint64("version", version(en.cfg.View())).Msg("refused")
	return rs
}

// ServerEnded takes in that a server ended under requests.
func (en *Entry) ServerEnded(pr origin.Process) {
	en.told(en.cfg.Poison.Ended(en.cfg.Clock(), pr))
}

// HintPoison takes in another VM's word, before its entry is there.
func (en *Entry) HintPoison(rd poison.Record) {
	en.told(en.cfg.Poison.Hint(en.cfg.Clock(), rd))
}

// LearnPoison takes in what another VM knows of a request.
func (en *Entry) LearnPoison(rd poison.Record) {
	en.told(en.cfg.Poison.Learn(en.cfg.Clock(), rd))
}

// ReleasePoison takes in that a request's entry was taken away.
func (en *Entry) ReleasePoison(fp poison.Fingerprint) {
	if up, ok := en.cfg.Poison.Release(en.cfg.Clock(), fp); ok {
		en.told([]poison.Update{up})
	}
}

// told logs what changed, and has other VMs hear of it.
func (en *Entry) told(ups []poison.Update) {
	for _, up := range ups {
		en.cfg.Meter.Count(meter.Poison, up.State.String())
		en.cfg.Log.Warn().Str("fingerprint", up.Fingerprint.String()).Str("state", up.State.String()).
			Int("ends", up.Ends).Strs("trials", up.Trials).Bool("shared", up.Share).Bool("answered", up.Cleared).
			Msg("request under which servers ended")
		if up.Share {
			en.cfg.Share(up)
		}
		if up.Share && !up.Cleared {
			en.cfg.Hint(up.Record)
		}
	}
}

// beginTrial notes that an attempt is a trial, if it is one.
func (fl *flight) beginTrial(ac fanout.Action) {
	if ac.Trial {
		fl.en.cfg.Meter.Count(meter.Sent, "trial")
		fl.en.cfg.Poison.BeginTrial(ac.Upstream.Process())
	}
}

// judged notes what an attempt shows of the request.
func (fl *flight) judged(ac fanout.Action, ar arrival) {
	pr, how := ac.Upstream.Process(), poison.Among
	if ac.Trial {
		how = fl.en.cfg.Poison.EndTrial(pr)
	}
	if ar.broken {
		fl.en.told(fl.en.cfg.Poison.Broken(fl.en.cfg.Clock(), fl.rq.fingerprint(), pr, how))
	}
}

// warnEnds is how many servers must end the connection under a request that none answered
// for the other VMs to hear of it while it is under way.
const warnEnds = 3

// tally counts what a result shows of the request.
func (fl *flight) tally(ar arrival) {
	switch {
	case ar.verdict == fanout.Served || ar.verdict == fanout.Failed:
		fl.answers++
	case ar.broken:
		fl.ends++
	}
}

// warn tells the other VMs, once, if so many servers ended under a request that none
// answered. Its caller may be back at one of them before this VM has proof.
func (fl *flight) warn(least int) {
	if fl.ends >= least && fl.answers == 0 && !fl.warned {
		fl.warned = true
		fl.en.cfg.Hint(poison.Record{Fingerprint: fl.rq.fingerprint()})
	}
}

// blocked tells whether the request is known to crash servers by now, from what its own
// trials showed or from another VM.
func (fl *flight) blocked() bool {
	return fl.en.cfg.Poison.Blocked(fl.en.cfg.Clock(), fl.rq.fingerprint())
}

// conclude notes what the whole arrival shows of the request.
func (fl *flight) conclude() {
	if fl.ends == 0 && !fl.rq.suspect {
		return
	}
	now, table := fl.en.cfg.Clock(), fl.en.cfg.Poison
	if fl.answers == 0 {
		fl.warn(1)
		fl.en.told(table.Unserved(now, fl.rq.fingerprint()))
		return
	}
	if up, known := table.Answered(now, fl.rq.fingerprint()); known {
		fl.en.told([]poison.Update{up})
	}
}
