package entry

import (
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
	"laburnumvane/io/meter"
)

// A request may crash the servers that run it, and the client may send it again, to any VM.
// What each arrival of the request shows is stored and shared with the other VMs, so that they
// refuse later arrivals.

// checkPoison returns the state of a request that has arrived, records the arrival and sets
// rq.suspect.
func (en *Entry) checkPoison(rq *request) poison.State {
	if en.cfg.Poison.Empty() {
		return poison.Clear
	}
	st, refresh := en.cfg.Poison.Arrive(en.cfg.Clock(), rq.fingerprint())
	if refresh.Share {
		en.cfg.SharePoison(refresh)
	}
	rq.suspect = st == poison.Suspect
	return st
}

// refuseBlocked refuses a request that crashes servers. It is not sent to any server as long as
// arrivals of it continue; it is tried again after none came for poison.BlockDuration.
func (en *Entry) refuseBlocked(rq *request) *response {
	rs := refusalResponse(consts.StatusServiceUnavailable, fanout.ReasonCrashes, "servers that run this request crash")
	rs.setRetryAfter(poison.BlockDuration)
	en.cfg.Meter.Count(meter.Refusal, fanout.ReasonCrashes)
	rq.logAccount(en.cfg.Log.Info().Str("id", rq.id)).Str("host", rq.host).Str("path", rq.path).
		Str("fingerprint", rq.fingerprint().String()).Int("status", rs.status).
		Str("reason", fanout.ReasonCrashes).Uint64("version", configVersion(en.cfg.View())).Msg("refused")
	return rs
}

// ServerEnded records that a server crashed under requests.
func (en *Entry) ServerEnded(pr origin.Process) {
	en.reportPoison(en.cfg.Poison.RecordServerEnd(en.cfg.Clock(), pr))
}

// ReceiveHint processes another VM's direct message about a request, which arrives before the
// request's entry in the store.
func (en *Entry) ReceiveHint(rd poison.Record) {
	en.reportPoison(en.cfg.Poison.Hint(en.cfg.Clock(), rd))
}

// ApplyPoison processes an entry of the store that another VM wrote about a request.
func (en *Entry) ApplyPoison(rd poison.Record) {
	en.reportPoison(en.cfg.Poison.Merge(en.cfg.Clock(), rd))
}

// RemovePoison processes the removal of a request's entry from the store.
func (en *Entry) RemovePoison(fp poison.Fingerprint) {
	if up, ok := en.cfg.Poison.Unblock(en.cfg.Clock(), fp); ok {
		en.reportPoison([]poison.Update{up})
	}
}

// reportPoison logs updates and passes them on to other VMs.
func (en *Entry) reportPoison(updates []poison.Update) {
	for _, up := range updates {
		en.cfg.Meter.Count(meter.Poison, up.State.String())
		en.cfg.Log.Warn().Str("fingerprint", up.Fingerprint.String()).Str("state", up.State.String()).
			Int("ends", up.Crashes).Strs("trials", up.Trials).Bool("shared", up.Share).Bool("answered", up.Cleared).
			Msg("request under which servers ended")
		if up.Share {
			en.cfg.SharePoison(up)
		}
		if up.Share && !up.Cleared {
			en.cfg.SendHint(up.Record)
		}
	}
}

// beginTrial records that a trial begins, if the attempt is one.
func (fl *flight) beginTrial(ac fanout.Action) {
	if ac.Trial {
		fl.en.cfg.Meter.Count(meter.Sent, "trial")
		fl.en.cfg.Poison.BeginTrial(ac.Upstream.Process())
	}
}

// reportAttempt records what the result of an attempt shows about the request.
func (fl *flight) reportAttempt(ac fanout.Action, ar attemptResult) {
	pr, how := ac.Upstream.Process(), poison.NotTrial
	if ac.Trial {
		how = fl.en.cfg.Poison.EndTrial(pr)
	}
	if ar.broken {
		fl.en.reportPoison(fl.en.cfg.Poison.RecordBroken(fl.en.cfg.Clock(), fl.rq.fingerprint(), pr, how))
	}
}

// minBrokenForHint is how many servers must close the connection under a request that none
// answered, before other VMs are notified while the request is still running.
const minBrokenForHint = 3

// countResult counts a result as an answer or as a broken connection.
func (fl *flight) countResult(ar attemptResult) {
	switch {
	case ar.verdict == fanout.Served || ar.verdict == fanout.Failed:
		fl.answeredCount++
	case ar.broken:
		fl.brokenCount++
	}
}

// sendHint notifies the other VMs, once, if at least that many servers closed the connection
// under the request and none answered. The client may retry at one of them before this VM has
// proof.
func (fl *flight) sendHint(minBroken int) {
	if fl.brokenCount >= minBroken && fl.answeredCount == 0 && !fl.hintSent {
		fl.hintSent = true
		fl.en.cfg.SendHint(poison.Record{Fingerprint: fl.rq.fingerprint()})
	}
}

// blocked reports whether the request is known by now to crash servers, from its own trials or
// from another VM.
func (fl *flight) blocked() bool {
	return fl.en.cfg.Poison.Blocked(fl.en.cfg.Clock(), fl.rq.fingerprint())
}

// reportArrival records what all attempts together show about the request.
func (fl *flight) reportArrival() {
	if fl.brokenCount == 0 && !fl.rq.suspect {
		return
	}
	now, table := fl.en.cfg.Clock(), fl.en.cfg.Poison
	if fl.answeredCount == 0 {
		fl.sendHint(1)
		fl.en.reportPoison(table.RecordUnserved(now, fl.rq.fingerprint()))
		return
	}
	if up, known := table.RecordAnswer(now, fl.rq.fingerprint()); known {
		fl.en.reportPoison([]poison.Update{up})
	}
}
