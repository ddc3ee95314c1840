package search

import "time"

// settle looks at where the search stands: answer, start over, hedge, or wait.
func (mc *Machine) settle(now time.Duration) {
	if mc.answered {
		return
	}
	switch {
	case mc.missing == 0:
		mc.answer()
	case now >= mc.cfg.Hard:
		mc.fail(ReasonDeadline)
		mc.answer()
	case now >= mc.cfg.Soft && mc.best().share() >= mc.cfg.MinCoverage && mc.best().answered > 0:
		mc.fail(ReasonSoft)
		mc.answer()
	case !mc.pending():
		mc.exhausted(now)
	default:
		mc.hedge(now)
		mc.sleep(now)
	}
}

// pending tells whether any missing shard still has an attempt under way.
func (mc *Machine) pending() bool {
	for i := range mc.shards {
		sh := &mc.shards[i]
		if !sh.done && sh.open > 0 {
			return true
		}
	}
	return false
}

// exhausted handles a search that can get no further under its snapshot: if the
// snapshot was retired under it, it starts over once on the newer one; else the
// answer goes out at once, since waiting could add nothing.
func (mc *Machine) exhausted(now time.Duration) {
	if !mc.restart(now) {
		mc.answer()
		return
	}
	mc.settle(now)
}

func (mc *Machine) restart(now time.Duration) bool {
	if !mc.gone || mc.cfg.Once || mc.epoch > 0 || mc.cfg.Newer == nil {
		return false
	}
	sn, ok := mc.cfg.Newer(mc.snapshot.Version)
	if !ok {
		return false
	}
	mc.epoch++
	mc.begin(now, sn)
	return true
}

// hedge sends a second attempt for the last few shards that straggle.
func (mc *Machine) hedge(now time.Duration) {
	if mc.cfg.Once || mc.cfg.HedgeDelay <= 0 || mc.missing > mc.cfg.HedgeLast {
		return
	}
	for i := range mc.shards {
		sh := &mc.shards[i]
		if sh.done || sh.hedged || sh.open != 1 || now-sh.started < mc.cfg.HedgeDelay {
			continue
		}
		sh.hedged = true
		if !mc.cfg.HedgeBudget.Spend() {
			continue
		}
		if !mc.send(now, i, AttemptHedge) {
			mc.cfg.HedgeBudget.Refund()
		}
	}
}

// sleep asks to be woken at the next time at which something could change.
func (mc *Machine) sleep(now time.Duration) {
	at := mc.cfg.Hard
	if now < mc.cfg.Soft {
		at = min(at, mc.cfg.Soft)
	}
	if !mc.cfg.Once && mc.cfg.HedgeDelay > 0 && mc.missing <= mc.cfg.HedgeLast {
		at = min(at, mc.nextHedge(at))
	}
	if at == mc.wake {
		return
	}
	mc.wake = at
	mc.actions = append(mc.actions, Action{Kind: ActWake, At: at})
}

func (mc *Machine) nextHedge(at time.Duration) time.Duration {
	for i := range mc.shards {
		sh := &mc.shards[i]
		if sh.done || sh.hedged || sh.open != 1 {
			continue
		}
		at = min(at, sh.started+mc.cfg.HedgeDelay)
	}
	return at
}

// best is the group with the largest share; the pinned one on a tie.
func (mc *Machine) best() *group {
	best := mc.pinned
	for _, gr := range mc.groups {
		if gr.share() > best.share() {
			best = gr
		}
	}
	return best
}

// answer gives the final answer and gives up what is still open.
func (mc *Machine) answer() {
	if mc.answered {
		return
	}
	mc.answered = true
	mayHaveRun := mc.mayHaveRun()
	mc.cancelAll()
	gr := mc.best()
	an := &Answer{
		Snapshot:  gr.version,
		Shards:    gr.shards,
		Answered:  gr.answered,
		Primaries: mc.primaries,
		Hedges:    mc.hedges,
		Retries:   mc.retries,
		Restarted: mc.epoch > 0,
	}
	an.Hits, an.Truncated = gr.merger.Result()
	an.Outcome = outcomeOf(gr, mayHaveRun)
	if an.Outcome != OutcomeComplete {
		an.Reason = mc.reason
	}
	mc.actions = append(mc.actions, Action{Kind: ActAnswer, Answer: an})
}

func outcomeOf(gr *group, mayHaveRun bool) Outcome {
	switch {
	case gr.shards > 0 && gr.answered == gr.shards:
		return OutcomeComplete
	case gr.answered > 0:
		return OutcomePartial
	case mayHaveRun:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}

// mayHaveRun tells whether any sub-request ran or may have run.
func (mc *Machine) mayHaveRun() bool {
	for i := range mc.subs {
		if mc.subs[i].state != subNotRun {
			return true
		}
	}
	return false
}

func (mc *Machine) cancelAll() {
	for k := range mc.subs {
		mc.giveUp(k)
	}
}

// cancel gives up the open attempts of one shard.
func (mc *Machine) cancel(i int) {
	for k := range mc.subs {
		if mc.subs[k].shard == i && mc.subs[k].epoch == mc.epoch {
			mc.giveUp(k)
		}
	}
}

func (mc *Machine) giveUp(k int) {
	sb := &mc.subs[k]
	if sb.state != subOpen {
		return
	}
	sb.state = subDoubtful
	mc.open--
	if sb.epoch == mc.epoch {
		mc.shards[sb.shard].open--
	}
	mc.actions = append(mc.actions, Action{
		Kind: ActCancel,
		Sub:  SubID{Search: mc.cfg.Number, Attempt: uint32(k)},
	})
}
