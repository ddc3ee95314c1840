package search

import "time"

func (mc *Machine) onRefused(now time.Duration, ev Event) {
	sb := mc.close(ev.Sub, subNotRun)
	if sb == nil || mc.answered {
		return
	}
	if ev.RetryAfter > 0 {
		mc.comeBack = max(mc.comeBack, now+ev.RetryAfter)
	}
	if ev.SnapshotGone {
		mc.gone = true
	}
	if !free(ev) {
		// A service that sheds has no room for a second attempt either:
		// each shed takes a hedge away, whether there was one or not.
		mc.cfg.HedgeBudget.Spend()
	}
	mc.retry(now, int(sb.shard), ev)
}

func (mc *Machine) onFailed(now time.Duration, ev Event) {
	st := subNotRun
	if ev.Sent {
		st = subDoubtful
	}
	sb := mc.close(ev.Sub, st)
	if sb == nil || mc.answered {
		return
	}
	mc.retry(now, int(sb.shard), ev)
}

// free tells whether the attempt that ended with an event cost no server any
// work and met no server without room. Another one then needs no token: each
// server is asked at most once, so that the replicas bound such attempts.
func free(ev Event) bool {
	switch ev.Kind {
	case EvFailed:
		return !ev.Sent
	case EvRefused:
		return ev.Elsewhere || ev.SnapshotGone
	default:
		return false
	}
}

// retry sends a shard's search again. A shard that cannot be had under a pin
// that is being retired makes the search start over at once, since no waiting
// could complete it.
func (mc *Machine) retry(now time.Duration, i int, ev Event) {
	sh := &mc.shards[i]
	if sh.done || sh.open > 0 {
		return
	}
	if mc.again(now, i, ev) {
		return
	}
	mc.fail(ev.Reason)
	if mc.early(now) {
		mc.restart(now)
	}
}

// again sends a shard's search to another server, if it may be; it tells
// whether it was.
func (mc *Machine) again(now time.Duration, i int, ev Event) bool {
	sh := &mc.shards[i]
	if mc.cfg.Once && sh.ran > 0 {
		// It may have run: a second attempt could run it twice.
		return false
	}
	if free(ev) {
		return mc.send(now, i, AttemptRetry, ev.Reason)
	}
	if mc.restarted && !mc.subs[sh.last].again {
		// The attempt was kept over the restart and brought nothing: the
		// first one under the new snapshot is still due, and owed for.
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
		mc.excuse(ReasonRetryBudget)
		return false
	}
	if !mc.send(now, i, AttemptRetry, ev.Reason) {
		mc.cfg.RetryBudget.Refund()
		return false
	}
	sh.retries++
	return true
}
