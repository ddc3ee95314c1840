package search

import "time"

// settle looks at where the search stands: answer, go on with what was put off,
// start over, hedge, or wait.
func (mc *Machine) settle(now time.Duration) {
	for !mc.answered {
		switch {
		case mc.full:
			mc.answer(now)
		case now >= mc.cfg.Hard:
			mc.fail(ReasonDeadline)
			mc.answer(now)
		case now >= mc.cfg.Soft && mc.enough():
			mc.fail(ReasonSoft)
			mc.answer(now)
		case mc.active > 0:
			mc.hedge(now)
			mc.sleep(now)
			return
		case !mc.goOn(now):
			// Waiting could add nothing: the caller hears it now.
			mc.answer(now)
		}
	}
}

func (mc *Machine) enough() bool {
	gr := mc.best()
	return gr.answered > 0 && gr.share() >= mc.cfg.MinCoverage
}

// goOn looks for a way on when no attempt is under way: the shards that were
// put off, under the pin while it is ahead, else a newer snapshot.
func (mc *Machine) goOn(now time.Duration) bool {
	if mc.best() == mc.pinned && mc.reask(now) {
		return true
	}
	return mc.restart(now) || mc.reask(now)
}

// answer gives the final answer and gives up what is still open.
func (mc *Machine) answer(now time.Duration) {
	mc.answered = true
	mc.cancelAll()
	gr := mc.best()
	an := &Answer{
		Snapshot:  gr.version,
		Shards:    gr.shards,
		Answered:  gr.answered,
		Primaries: mc.primaries,
		Hedges:    mc.hedges,
		Retries:   mc.retries,
		Restarted: mc.restarted,
	}
	an.Hits, an.Truncated = gr.merger.Result()
	an.Outcome = outcomeOf(gr, mc.ran > 0)
	if an.Outcome != OutcomeComplete {
		an.Reason = mc.reason
		an.RetryAfter = max(0, mc.comeBack-now)
	}
	mc.actions = append(mc.actions, Action{Kind: ActAnswer, Answer: an})
}

func outcomeOf(gr *group, mayHaveRun bool) Outcome {
	switch {
	case gr.whole():
		return OutcomeComplete
	case gr.answered > 0:
		return OutcomePartial
	case mayHaveRun:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}
