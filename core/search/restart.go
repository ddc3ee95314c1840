package search

import (
	"time"

	"laburnumvane/core/view"
)

// early tells whether to start over while attempts are still under way: only if
// as much time is left as was used. Later than that it is better to see what
// the old snapshot still brings.
func (mc *Machine) early(now time.Duration) bool {
	return mc.gone && now-mc.begun <= mc.cfg.Hard-now
}

// restart begins the search anew on a newer snapshot, once, if the pinned one is
// being retired and no shard is forbidden to run twice. It needs a token and
// then owes one for each shard that it asks again, so that a fleet whose
// snapshots change faster than searches end is not asked everything twice.
func (mc *Machine) restart(now time.Duration) bool {
	if !mc.gone || mc.restarted || mc.cfg.Once || mc.cfg.Newer == nil {
		return false
	}
	if !mc.cfg.RetryBudget.Spend() {
		mc.excuse(ReasonRetryBudget)
		return false
	}
	sn, ok := mc.successor()
	if !ok {
		mc.cfg.RetryBudget.Refund()
		return false
	}
	sent := mc.retries
	mc.restarted = true
	mc.startOver(now, sn)
	mc.cfg.RetryBudget.Charge(mc.retries - sent - 1)
	return true
}

// successor is the snapshot to start over on. Where the view does not know of a
// newer one yet, replies may: a version that covers more than the pin does, with
// a map of the same size, is asked for on the replicas of the pin.
func (mc *Machine) successor() (view.Snapshot, bool) {
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

// startOver turns to another snapshot. Replies that came under it already stay.
// So do attempts under way if the shard map is the same size: they were sent to
// servers that answer what they have, which is likely the newer one.
func (mc *Machine) startOver(now time.Duration, sn view.Snapshot) {
	if sn.Shards() != len(mc.shards) {
		mc.cancelAll()
		mc.shards = make([]shard, sn.Shards())
		mc.line = line{}
	}
	mc.snapshot = sn
	mc.deferred = 0
	mc.pin(sn.Version, sn.Shards())
	for i := range mc.shards {
		mc.startShard(now, i)
	}
	if mc.pinned.whole() {
		mc.full = true
	}
}

func (mc *Machine) startShard(now time.Duration, i int) {
	sh := &mc.shards[i]
	sh.done = mc.pinned.got[i]
	sh.deferred = false
	sh.retries = 0
	if sh.done {
		mc.cancel(i)
		return
	}
	if sh.open == 0 {
		mc.send(now, i, AttemptRetry, ReasonOtherSnapshot)
	}
}
