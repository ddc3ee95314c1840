package search

import "time"

func (mc *Machine) onRefused(now time.Duration, ev Event) {
	sb := mc.endSub(ev.Sub, subNotRun)
	if sb == nil || mc.answered {
		return
	}
	if ev.RetryAfter > 0 {
		mc.retryAt = max(mc.retryAt, now+ev.RetryAfter)
	}
	if ev.SnapshotGone {
		mc.pinRetired = true
	}
	if !needsNoToken(ev) {
		// A service that sheds has no capacity for hedges either: each
		// refusal takes a token of the hedge budget, if there is one.
		mc.cfg.HedgeBudget.Spend()
	}
	mc.retry(now, int(sb.shard), ev)
}

func (mc *Machine) onFailed(now time.Duration, ev Event) {
	st := subNotRun
	if ev.Sent {
		st = subMayHaveRun
	}
	sb := mc.endSub(ev.Sub, st)
	if sb == nil || mc.answered {
		return
	}
	mc.retry(now, int(sb.shard), ev)
}

// needsNoToken reports whether the attempt that ended with ev cost no server any
// work and was not refused for lack of capacity. A retry then needs no token:
// each server is asked at most once, so that the number of replicas limits such
// retries.
func needsNoToken(ev Event) bool {
	switch ev.Kind {
	case EvFailed:
		return !ev.Sent
	case EvRefused:
		return ev.Elsewhere || ev.SnapshotGone
	default:
		return false
	}
}

// retry retries a shard if it has no open sub-request. If that is not possible
// and servers are dropping the pinned snapshot, the search restarts at once,
// since waiting could not complete it.
func (mc *Machine) retry(now time.Duration, i int, ev Event) {
	sh := &mc.shards[i]
	if sh.done || sh.open > 0 {
		return
	}
	if mc.retryIfAllowed(now, i, ev) {
		return
	}
	mc.setReason(ev.Reason)
	if mc.mayRestartEarly(now) {
		mc.restart(now)
	}
}

// retryIfAllowed sends the search to another server of a shard, if the rules and
// budgets allow it, and reports whether it did.
func (mc *Machine) retryIfAllowed(now time.Duration, i int, ev Event) bool {
	sh := &mc.shards[i]
	if mc.cfg.AtMostOnce && sh.mayHaveRun > 0 {
		// The search may have run on the shard and must not run twice.
		return false
	}
	if needsNoToken(ev) {
		return mc.send(now, i, AttemptRetry, ev.Reason)
	}
	if mc.restarted && !mc.subs[sh.last].afterRestart {
		// The attempt was open during the restart and failed. The first
		// attempt under the new snapshot is still to be made, and charged.
		if !mc.send(now, i, AttemptRetry, ev.Reason) {
			return false
		}
		mc.cfg.RetryBudget.Charge(1)
		return true
	}
	if int(sh.retries) >= mc.cfg.RetryPerShard {
		return false
	}
	if !mc.cfg.RetryBudget.Spend() {
		mc.setReasonIfNone(ReasonRetryBudget)
		return false
	}
	if !mc.send(now, i, AttemptRetry, ev.Reason) {
		mc.cfg.RetryBudget.Refund()
		return false
	}
	sh.retries++
	return true
}
