package search

import (
	"time"

	"laburnumvane/core/view"
)

// mayRestartEarly reports whether to restart while sub-requests are still open:
// only if servers are dropping the pinned snapshot and at least as much time is
// left as has passed. Later it is better to wait for replies under the old
// snapshot.
func (mc *Machine) mayRestartEarly(now time.Duration) bool {
	return mc.pinRetired && now-mc.started <= mc.cfg.HardDeadline-now
}

// restart restarts the search on a newer snapshot, once, if servers are dropping
// the pinned one and shards may run the search twice. It needs one token, and
// then charges one for every further shard that it asks again, even if the
// balance becomes negative. Otherwise the load would double if snapshots change
// faster than searches end.
func (mc *Machine) restart(now time.Duration) bool {
	if !mc.pinRetired || mc.restarted || mc.cfg.AtMostOnce || mc.cfg.Newer == nil {
		return false
	}
	if !mc.cfg.RetryBudget.Spend() {
		mc.setReasonIfNone(ReasonRetryBudget)
		return false
	}
	sn, ok := mc.newerSnapshot()
	if !ok {
		mc.cfg.RetryBudget.Refund()
		return false
	}
	retriesBefore := mc.retries
	mc.restarted = true
	mc.switchSnapshot(now, sn)
	mc.cfg.RetryBudget.Charge(mc.retries - retriesBefore - 1)
	return true
}

// newerSnapshot returns the snapshot to restart on. If Config.Newer knows none
// yet, it may be the version of replies: one newer than the pinned version, with
// more coverage and the same number of shards. It is then requested from the
// replicas of the pinned snapshot.
func (mc *Machine) newerSnapshot() (view.Snapshot, bool) {
	sn, ok := mc.cfg.Newer(mc.snapshot.Version)
	if ok && sn.Version > mc.snapshot.Version {
		return sn, true
	}
	gr := mc.best()
	if gr.version <= mc.snapshot.Version || gr.shards != len(mc.shards) {
		return view.Snapshot{}, false
	}
	return view.Snapshot{Version: gr.version, Replicas: mc.snapshot.Replicas}, true
}

// switchSnapshot pins another snapshot. Replies already received under it are
// kept. Open sub-requests are kept if the number of shards is the same: a server
// answers with the version that it holds, which is probably the newer one.
func (mc *Machine) switchSnapshot(now time.Duration, sn view.Snapshot) {
	if sn.Shards() != len(mc.shards) {
		mc.cancelAll()
		mc.shards = make([]shard, sn.Shards())
		mc.hedgeQueue = hedgeQueue{}
	}
	mc.snapshot = sn
	mc.deferred = 0
	mc.pin(sn.Version, sn.Shards())
	for i := range mc.shards {
		mc.resetShard(now, i)
	}
	if mc.pinned.complete() {
		mc.groupComplete = true
	}
}

func (mc *Machine) resetShard(now time.Duration, i int) {
	sh := &mc.shards[i]
	sh.done = mc.pinned.received[i]
	sh.deferred = false
	sh.retries = 0
	if sh.done {
		mc.cancelShard(i)
		return
	}
	if sh.open == 0 {
		mc.send(now, i, AttemptRetry, ReasonOtherSnapshot)
	}
}
