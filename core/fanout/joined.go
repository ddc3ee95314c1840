package fanout

import "time"

// StepAll takes in results that came joined: they are taken together, before
// anything is decided, or all of them count as lost. One shard that has another
// winner by now suffices for that, since its records cannot be taken out.
func (mc *Machine) StepAll(now time.Duration, evs []Event) []Action {
	mc.actions = mc.actions[:0]
	whole := true
	for _, ev := range evs {
		whole = whole && (ev.Verdict != Served || mc.shards[mc.attempts[ev.Attempt].shard].winner == none)
	}
	for _, ev := range evs {
		if !whole && ev.Verdict == Served {
			ev.Verdict = Lost
		}
		mc.onResult(now, ev)
	}
	mc.proceed(now)
	mc.settle(now)
	return mc.actions
}

// Hold keeps further servers of an attempt's shard from being asked until a time,
// by which its result should be there.
func (mc *Machine) Hold(k int, until time.Duration) {
	if sh := &mc.shards[mc.attempts[k].shard]; sh.hedgeAt > 0 {
		sh.hedgeAt = max(sh.hedgeAt, until)
	}
}

// Release ends that: the attempt's result will come by itself.
func (mc *Machine) Release(k int) {
	at := &mc.attempts[k]
	if sh := &mc.shards[at.shard]; sh.hedgeAt > 0 && !mc.answered {
		sh.hedgeAt = at.started + mc.cfg.HedgeAfter
	}
}
