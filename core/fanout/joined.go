package fanout

import "time"

// StepJoined processes the results of a joined answer: one in which a VM in another data centre
// combines the answers of several shards. All results are recorded before anything is decided. If
// one of the served shards already has another winner, all served results count as Lost, since the
// records of that shard cannot be separated from the rest.
func (mc *Machine) StepJoined(now time.Duration, evs []Event) []Action {
	mc.actions = mc.actions[:0]
	usable := true
	for _, ev := range evs {
		usable = usable && (ev.Verdict != Served || mc.shards[mc.attempts[ev.Attempt].shard].winner == none)
	}
	for _, ev := range evs {
		if !usable && ev.Verdict == Served {
			ev.Verdict = Lost
		}
		mc.onResult(now, ev)
	}
	mc.sendDue(now)
	mc.decide(now)
	return mc.actions
}

// HoldHedges delays hedges for the shard of attempt k until the given time, by which its result is
// expected.
func (mc *Machine) HoldHedges(k int, until time.Duration) {
	if sh := &mc.shards[mc.attempts[k].shard]; sh.hedgeAt > 0 {
		sh.hedgeAt = max(sh.hedgeAt, until)
	}
}

// ReleaseHedges undoes HoldHedges: the result of attempt k will arrive on its own.
func (mc *Machine) ReleaseHedges(k int) {
	at := &mc.attempts[k]
	if sh := &mc.shards[at.shard]; sh.hedgeAt > 0 && !mc.answered {
		sh.hedgeAt = at.started + mc.cfg.HedgeAfter
	}
}
