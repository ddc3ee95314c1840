package entry

import (
	"slices"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/toggle"
)

// Spend takes a token for one more attempt at a shard's service; it implements fanout.Budget.
func (fl *flight) Spend(shard int, need fanout.Need) bool {
	return fl.en.budgets.spend(fl.en.cfg.Clock(), fl.services[shard], need)
}

// capacity returns what the servers of a shard can take of a request that is to meet its target.
func (fl *flight) capacity(now time.Duration, shard int) fanout.Capacity {
	warm, _ := fl.warmAndCold(now, shard)
	return fl.en.cfg.Steer.Capacity(now, fl.latency.usualLatency(), fl.target-fl.rq.began, warm)
}

// dropQueued cancels the attempts that have waited here for a connection for hedgeAfter, the
// time that a server is given to respond. They have caused no work yet, and another server may
// have capacity.
func (fl *flight) dropQueued() {
	if fl.en.cfg.Off.Off(toggle.Moves) {
		return
	}
	late := fl.en.cfg.Clock() - fl.hedgeAfter
	for k, ca := range fl.calls {
		if ca != nil && fl.results[k].verdict == 0 && fl.machine.Started(k) <= late && ca.Queued() {
			fl.machine.CapacityLacked(fl.en.cfg.Clock())
			ca.Drop(0)
		}
	}
	fl.queued = slices.DeleteFunc(fl.queued, func(k int) bool { return fl.machine.Started(k) <= late })
}

// nextQueueCheck returns when dropQueued is due for the first of the attempts that wait for a
// connection; ok is false if none waits. The machine itself plans no event for an attempt that has no
// further hedge, nor while only trials are sent. A request that may run once has no hedges, and waits:
// another server may only be asked after one that refused it.
func (fl *flight) nextQueueCheck() (at time.Duration, ok bool) {
	if !fl.rt.Idempotent || fl.en.cfg.Off.Off(toggle.Moves) {
		return 0, false
	}
	fl.queued = slices.DeleteFunc(fl.queued, func(k int) bool { return fl.results[k].verdict != 0 || !fl.calls[k].Queued() })
	if len(fl.queued) == 0 {
		return 0, false
	}
	return fl.machine.Started(fl.queued[0]) + fl.hedgeAfter, true
}
