package search

import "time"

// advance does what the present state calls for: answer, retry deferred shards,
// restart, hedge, or wait.
func (mc *Machine) advance(now time.Duration) {
	for !mc.answered {
		switch {
		case mc.groupComplete:
			mc.answer(now)
		case now >= mc.cfg.HardDeadline:
			mc.setReason(ReasonDeadline)
			mc.answer(now)
		case now >= mc.cfg.SoftDeadline && mc.enoughCoverage():
			mc.setReason(ReasonSoftDeadline)
			mc.answer(now)
		case mc.active > 0:
			mc.hedge(now)
			mc.scheduleWake(now)
			return
		case !mc.resume(now):
			// No reply is outstanding, so that waiting would add nothing.
			mc.answer(now)
		}
	}
}

func (mc *Machine) enoughCoverage() bool {
	gr := mc.best()
	return gr.answered > 0 && gr.coverage() >= mc.cfg.MinCoverage
}

// resume sends further sub-requests when none is open, and reports whether there
// were any to send. It retries the deferred shards first if the pinned version has
// the highest coverage; otherwise it tries a restart first.
func (mc *Machine) resume(now time.Duration) bool {
	if mc.best() == mc.pinned && mc.retryDeferred(now) {
		return true
	}
	return mc.restart(now) || mc.retryDeferred(now)
}

// answer gives the final answer and cancels the open sub-requests.
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
	an.Outcome = outcomeOf(gr, mc.mayHaveRun > 0)
	if an.Outcome != OutcomeComplete {
		an.Reason = mc.reason
		an.RetryAfter = max(0, mc.retryAt-now)
	}
	mc.actions = append(mc.actions, Action{Kind: ActAnswer, Answer: an})
}

func outcomeOf(gr *group, mayHaveRun bool) Outcome {
	switch {
	case gr.complete():
		return OutcomeComplete
	case gr.answered > 0:
		return OutcomePartial
	case mayHaveRun:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}
