package drive

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/admit"
	"laburnumvane/core/pick"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
)

type machine = admit.Machine[*waiter]

// waiter is a queued search.
type waiter struct {
	ready chan verdict
}

// verdict is the result of an offer: the search may start, or is refused with a reason.
type verdict struct {
	start      bool
	reason     string
	retryAfter time.Duration
}

// admissionQueue is the queue of searches for the servers of one register.
type admissionQueue struct {
	mu      sync.Mutex
	machine *machine
	// waiting is the number of queued searches. Each sub-request that ends reads it without
	// the mutex.
	waiting atomic.Int32
	polling bool
}

// update changes the state machine and sends the verdicts that result.
func (aq *admissionQueue) update(dr *Driver, change func(mc *machine)) {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	change(aq.machine)
	aq.sendVerdicts(dr)
}

func (aq *admissionQueue) sendVerdicts(dr *Driver) {
	now := dr.now()
	for _, gr := range aq.machine.Step(now) {
		// This does not block: each waiter gets one verdict, and the channel buffers one.
		gr.Waiter.ready <- verdict{start: gr.Start, reason: string(gr.Reason), retryAfter: gr.RetryAfter}
	}
	aq.waiting.Store(int32(aq.machine.Waiting()))
	at, ok := aq.machine.Next(now)
	if !ok || aq.polling {
		return
	}
	aq.polling = true
	time.AfterFunc(at-now, func() {
		aq.update(dr, func(*machine) { aq.polling = false })
	})
}

// offer returns when the search may start or is refused.
func (aq *admissionQueue) offer(ctx context.Context, dr *Driver, rq admit.Request) verdict {
	wt := &waiter{ready: make(chan verdict, 1)}
	aq.mu.Lock()
	de := aq.machine.Offer(dr.now(), rq, wt)
	if de.Kind == admit.Queued {
		aq.sendVerdicts(dr)
	}
	aq.mu.Unlock()
	switch de.Kind {
	case admit.Admitted:
		return verdict{start: true}
	case admit.Refused:
		return verdict{reason: string(de.Reason), retryAfter: de.RetryAfter}
	}
	return aq.wait(ctx, dr, wt, de)
}

func (aq *admissionQueue) wait(ctx context.Context, dr *Driver, wt *waiter, de admit.Decision) verdict {
	tm := time.NewTimer(de.StartBy - dr.now())
	defer tm.Stop()
	reason := string(admit.ReasonQueueTimeout)
	select {
	case vd := <-wt.ready:
		return vd
	case <-tm.C:
	case <-ctx.Done():
		reason = ReasonCallerGone
	}
	withdrawn := false
	aq.update(dr, func(mc *machine) { withdrawn = mc.Withdraw(dr.now(), de.Handle) })
	if !withdrawn {
		// The verdict came at the same moment.
		return <-wt.ready
	}
	return verdict{reason: reason, retryAfter: defaultRetryAfter}
}

// capacityChooser picks among the replicas that have capacity, or among all if none has: the
// search was admitted, and a sub-request that waits at a server is better than a shard without
// one.
type capacityChooser struct {
	inner pick.Chooser
	ad    *admission
	// unlimited is set if limits are off.
	unlimited bool
}

const (
	// maxFiltered is the number of replicas up to which each is checked for capacity. With
	// more replicas only the picked one is checked, up to maxSampleTries times.
	maxFiltered    = 8
	maxSampleTries = 3
)

// Pick returns a server of the list that is not among tried. A further server for a shard needs a
// token, so that refusals cannot multiply the number of messages.
func (ch capacityChooser) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	if len(tried) == 0 {
		ch.ad.moves.Earn(1)
		return ch.pick(replicas, tried)
	}
	if !ch.ad.moves.Spend() {
		ch.ad.dr.cfg.Meter.Count(meter.Upstream, reasonMoves)
		return 0, false
	}
	id, ok := ch.pick(replicas, tried)
	if !ok {
		ch.ad.moves.Refund()
	}
	return id, ok
}

// reasonMoves is the metric name of shards that got no further server for lack of a token.
const reasonMoves = "moveBudget"

func (ch capacityChooser) pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	now := ch.ad.dr.now()
	if len(replicas) > maxFiltered {
		return ch.sample(now, replicas, tried)
	}
	var candidates [maxFiltered]view.ServerID
	n := 0
	for _, id := range replicas {
		if ch.hasCapacity(now, id) {
			candidates[n] = id
			n++
		}
	}
	if n > 0 && n < len(replicas) {
		if id, ok := ch.inner.Pick(candidates[:n], tried); ok {
			return id, true
		}
	}
	return ch.inner.Pick(replicas, tried)
}

func (ch capacityChooser) sample(now time.Duration, replicas, tried []view.ServerID) (view.ServerID, bool) {
	id, ok := ch.inner.Pick(replicas, tried)
	for range maxSampleTries - 1 {
		if !ok || ch.hasCapacity(now, id) {
			break
		}
		id, ok = ch.inner.Pick(replicas, tried)
	}
	return id, ok
}

func (ch capacityChooser) hasCapacity(now time.Duration, id view.ServerID) bool {
	return ch.unlimited || int(id) >= ch.ad.limits.Len() || ch.ad.limits.HasCapacity(now, id)
}
