package poison_test

import (
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
)

type simAttempt struct {
	fl     *simFlight
	k      int
	trial  bool
	closed bool
}

// simFlight is one arrival at one VM.
type simFlight struct {
	fw      *fleet
	vm      *simVM
	fp      poison.Fingerprint
	crashes bool
	suspect bool
	tries   int
	began   time.Duration
	mc      *fanout.Machine
	sent    map[int]*simAttempt
	seen    bool
	replied bool
	broken  int
	hinted  bool
	over    bool
}

// Pick prefers the replica that stands near, as one data centre's VMs do; for a trial it passes
// over servers at which another request is tried.
func (fl *simFlight) Pick(_ time.Duration, ask fanout.Ask) (*origin.Upstream, bool) {
	if ask.Trial {
		if up, ok := fl.pick(ask.Shard, ask.Tried, true); ok {
			return up, true
		}
	}
	return fl.pick(ask.Shard, ask.Tried, false)
}

func (fl *simFlight) pick(shard int, tried []*origin.Upstream, alone bool) (*origin.Upstream, bool) {
	var free []*origin.Upstream
	for _, sv := range fl.fw.servers[shard] {
		used := fl.vm.away[sv.up.ID] || alone && fl.vm.table.OnTrial(sv.up.Process())
		for _, up := range tried {
			used = used || up.ID == sv.up.ID
		}
		if used {
			continue
		}
		if sv.replica == fl.vm.index%fl.fw.sh.replicas {
			return sv.up, true
		}
		free = append(free, sv.up)
	}
	if len(free) == 0 {
		return nil, false
	}
	return free[fl.fw.rnd.IntN(len(free))], true
}

// Spend grants every token: what costs servers must not be hidden by a lack of them.
func (fl *simFlight) Spend(int, bool) bool { return true }

func (fl *simFlight) step(ev fanout.Event) {
	if !fl.over {
		fl.perform(fl.mc.Step(fl.fw.now, ev))
	}
}

func (fl *simFlight) perform(acts []fanout.Action) {
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			fl.send(ac)
		case fanout.ActDrop:
			if at := fl.sent[ac.Attempt]; at != nil && !fl.crashes {
				fl.close(at, ac.Upstream)
			}
		case fanout.ActAnswer:
			fl.over = true
			an := ac.Answer
			fl.fw.after(0, func() { fl.conclude(an) })
		}
	}
	if !fl.over {
		wake := fl.mc.Wake()
		fl.fw.after(max(0, wake-fl.fw.now), func() {
			if fl.fw.now >= wake {
				fl.step(fanout.Event{Kind: fanout.EvWake})
			}
		})
	}
}

func (fl *simFlight) close(at *simAttempt, up *origin.Upstream) {
	if !at.closed {
		at.closed = true
		if at.trial {
			fl.vm.table.EndTrial(up.Process())
		}
	}
}

func (fl *simFlight) send(ac fanout.Action) {
	fw, k := fl.fw, ac.Attempt
	at := &simAttempt{fl: fl, k: k, trial: ac.Trial}
	fl.sent[k] = at
	if ac.Trial {
		fl.vm.table.BeginTrial(ac.Upstream.Process())
	}
	var sv *simServer
	for _, one := range fw.servers[ac.Shard] {
		if one.up.ID == ac.Upstream.ID {
			sv = one
		}
	}
	if sv == nil || sv.down {
		fl.vm.away[ac.Upstream.ID] = true
		fw.after(dialTime, func() {
			fl.close(at, ac.Upstream)
			fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Unsent})
		})
		return
	}
	if fl.crashes && !fl.seen {
		fl.seen = true
		fw.reached[fl.fp] = append(fw.reached[fl.fp], fw.now)
	}
	fw.flights[sv] = append(fw.flights[sv], at)
	life := sv.life
	if fl.crashes {
		fw.after(crashTime, func() {
			if sv.life == life && !sv.down {
				fw.ended[fl.fp] = append(fw.ended[fl.fp], fw.now)
				fw.end(sv)
			}
		})
		return
	}
	if fw.rnd.Float64() < fw.lost {
		fw.after(fw.sh.work, func() { fw.breakOne(at, sv, life) })
		return
	}
	took := fw.sh.work/2 + time.Duration(fw.rnd.ExpFloat64()*float64(fw.sh.work)/2)
	fw.after(took, func() {
		if at.closed {
			return
		}
		fl.close(at, ac.Upstream)
		fl.replied = true
		fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Served})
	})
}

// conclude ends an arrival as an entry VM does; the caller may ask once more.
func (fl *simFlight) conclude(an fanout.Answer) {
	fw := fl.fw
	kind := "others "
	if fl.crashes {
		kind = "crashing "
	}
	fw.tally[kind+an.Outcome.String()]++
	switch {
	case fl.broken == 0 && !fl.suspect:
	case fl.replied:
		if up, known := fl.vm.table.Answered(fw.now, fl.fp); known {
			fl.vm.told(fw, []poison.Update{up})
		}
	default:
		fl.breaks(0)
		fl.vm.told(fw, fl.vm.table.Unserved(fw.now, fl.fp))
	}
	if fl.suspect {
		fw.release(fl.vm, fl.fp)
	}
	again := fw.sh.idempotent || an.Outcome == fanout.OutcomeNotRun
	if an.Outcome != fanout.OutcomeServed && again && fl.tries > 0 {
		fw.after(returnTime, func() { fw.arrive(fw.otherVM(fl.vm), fl.fp, fl.crashes, fl.tries-1) })
	}
}

// breaks counts attempts that servers broke, and gives the others a hint.
func (fl *simFlight) breaks(n int) {
	fl.broken += n
	if fl.hinted || fl.replied || fl.broken < hintEnds && n > 0 || fl.broken == 0 {
		return
	}
	fl.hinted = true
	fl.fw.after(hintTime, func() {
		for _, vm := range fl.fw.vms {
			vm.table.Hint(fl.fw.now, poison.Record{Fingerprint: fl.fp})
		}
	})
}
