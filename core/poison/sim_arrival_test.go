package poison_test

import (
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
)

type simAttempt struct {
	arrival *simArrival
	k       int
	trial   bool
	closed  bool
}

// simArrival is one arrival of a request at one VM.
type simArrival struct {
	ft            *fleet
	vm            *simVM
	fp            poison.Fingerprint
	crashes       bool
	suspect       bool
	retriesLeft   int
	arrivedAt     time.Duration
	mc            *fanout.Machine
	sent          map[int]*simAttempt
	reachedServer bool
	answered      bool
	broken        int
	hinted        bool
	done          bool
}

// Pick prefers the nearby replica, as VMs of one data centre do. For a trial it avoids servers on
// which another request is tried.
func (ar *simArrival) Pick(_ time.Duration, rq fanout.PickRequest) (*origin.Upstream, bool) {
	if rq.Trial {
		if up, ok := ar.pick(rq.Shard, rq.Tried, true); ok {
			return up, true
		}
	}
	return ar.pick(rq.Shard, rq.Tried, false)
}

func (ar *simArrival) pick(shard int, tried []*origin.Upstream, exclusive bool) (*origin.Upstream, bool) {
	var candidates []*origin.Upstream
	for _, sv := range ar.ft.servers[shard] {
		excluded := ar.vm.unreachable[sv.up.ID] || exclusive && ar.vm.table.HasTrial(sv.up.Process())
		for _, up := range tried {
			excluded = excluded || up.ID == sv.up.ID
		}
		if excluded {
			continue
		}
		if sv.replica == ar.vm.index%ar.ft.cfg.replicas {
			return sv.up, true
		}
		candidates = append(candidates, sv.up)
	}
	if len(candidates) == 0 {
		return nil, false
	}
	return candidates[ar.ft.rnd.IntN(len(candidates))], true
}

// Spend grants every token, so that a lack of tokens does not limit the number of crashes.
func (ar *simArrival) Spend(int, fanout.Need) bool { return true }

func (ar *simArrival) step(ev fanout.Event) {
	if !ar.done {
		ar.perform(ar.mc.Step(ar.ft.now, ev))
	}
}

func (ar *simArrival) perform(acts []fanout.Action) {
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			ar.send(ac)
		case fanout.ActDrop:
			if at := ar.sent[ac.Attempt]; at != nil && !ar.crashes {
				ar.close(at, ac.Upstream)
			}
		case fanout.ActAnswer:
			ar.done = true
			an := ac.Answer
			ar.ft.schedule(0, func() { ar.finish(an) })
		}
	}
	if !ar.done {
		wake := ar.mc.Wake()
		ar.ft.schedule(max(0, wake-ar.ft.now), func() {
			if ar.ft.now >= wake {
				ar.step(fanout.Event{Kind: fanout.EvWake})
			}
		})
	}
}

func (ar *simArrival) close(at *simAttempt, up *origin.Upstream) {
	if !at.closed {
		at.closed = true
		if at.trial {
			ar.vm.table.EndTrial(up.Process())
		}
	}
}

func (ar *simArrival) send(ac fanout.Action) {
	ft, k := ar.ft, ac.Attempt
	at := &simAttempt{arrival: ar, k: k, trial: ac.Trial}
	ar.sent[k] = at
	if ac.Trial {
		ar.vm.table.BeginTrial(ac.Upstream.Process())
	}
	var sv *simServer
	for _, one := range ft.servers[ac.Shard] {
		if one.up.ID == ac.Upstream.ID {
			sv = one
		}
	}
	if sv == nil || sv.down {
		ar.vm.unreachable[ac.Upstream.ID] = true
		ft.schedule(dialDelay, func() {
			ar.close(at, ac.Upstream)
			ar.step(fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Unsent})
		})
		return
	}
	if ar.crashes && !ar.reachedServer {
		ar.reachedServer = true
		ft.reachedAt[ar.fp] = append(ft.reachedAt[ar.fp], ft.now)
	}
	ft.attempts[sv] = append(ft.attempts[sv], at)
	generation := sv.generation
	if ar.crashes {
		ft.schedule(timeToCrash, func() {
			if sv.generation == generation && !sv.down {
				ft.crashedAt[ar.fp] = append(ft.crashedAt[ar.fp], ft.now)
				ft.crash(sv)
			}
		})
		return
	}
	if ft.rnd.Float64() < ft.lost {
		ft.schedule(ft.cfg.work, func() { ft.breakConnection(at, sv, generation) })
		return
	}
	took := ft.cfg.work/2 + time.Duration(ft.rnd.ExpFloat64()*float64(ft.cfg.work)/2)
	ft.schedule(took, func() {
		if at.closed {
			return
		}
		ar.close(at, ac.Upstream)
		ar.answered = true
		ar.step(fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Served})
	})
}

// finish ends an arrival as an entry VM does; the caller may retry.
func (ar *simArrival) finish(an fanout.Answer) {
	ft := ar.ft
	kind := "others "
	if ar.crashes {
		kind = "crashing "
	}
	ft.counts[kind+an.Outcome.String()]++
	switch {
	case ar.broken == 0 && !ar.suspect:
	case ar.answered:
		if up, known := ar.vm.table.RecordAnswer(ft.now, ar.fp); known {
			ar.vm.share(ft, []poison.Update{up})
		}
	default:
		ar.countBroken(0)
		ar.vm.share(ft, ar.vm.table.RecordUnserved(ft.now, ar.fp))
	}
	if ar.suspect {
		ft.releaseTurn(ar.vm, ar.fp)
	}
	again := ft.cfg.idempotent || an.Outcome == fanout.OutcomeNotRun
	if an.Outcome != fanout.OutcomeServed && again && ar.retriesLeft > 0 {
		ft.schedule(retryDelay, func() { ft.arrive(ft.otherVM(ar.vm), ar.fp, ar.crashes, ar.retriesLeft-1) })
	}
}

// countBroken counts attempts that servers broke, and sends a hint to the other VMs.
func (ar *simArrival) countBroken(n int) {
	ar.broken += n
	if ar.hinted || ar.answered || ar.broken < hintMinBroken && n > 0 || ar.broken == 0 {
		return
	}
	ar.hinted = true
	ar.ft.schedule(hintDelay, func() {
		for _, vm := range ar.ft.vms {
			vm.table.Hint(ar.ft.now, poison.Record{Fingerprint: ar.fp})
		}
	})
}
