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

// waiter is a search in the queue.
type waiter struct {
	ready chan verdict
}

// verdict ends an offer.
type verdict struct {
	start  bool
	reason string
	after  time.Duration
}

// door is the queue before the servers of one register.
type door struct {
	mu      sync.Mutex
	machine *machine
	// waiting is read without the mutex by each sub-request that ends.
	waiting atomic.Int32
	polling bool
}

// with changes the machine and hands out who may start then.
func (do *door) with(dr *Driver, change func(mc *machine)) {
	do.mu.Lock()
	defer do.mu.Unlock()
	change(do.machine)
	do.hand(dr)
}

func (do *door) hand(dr *Driver) {
	now := dr.now()
	for _, gr := range do.machine.Step(now) {
		// The channel has room for the one verdict that each waiter gets.
		gr.Waiter.ready <- verdict{start: gr.Start, reason: string(gr.Reason), after: gr.RetryAfter}
	}
	do.waiting.Store(int32(do.machine.Waiting()))
	at, ok := do.machine.Next(now)
	if !ok || do.polling {
		return
	}
	do.polling = true
	time.AfterFunc(at-now, func() {
		do.with(dr, func(*machine) { do.polling = false })
	})
}

// offer returns when the search may start or is refused.
func (do *door) offer(ctx context.Context, dr *Driver, rq admit.Request) verdict {
	wt := &waiter{ready: make(chan verdict, 1)}
	do.mu.Lock()
	de := do.machine.Offer(dr.now(), rq, wt)
	if de.Kind == admit.Queued {
		do.hand(dr)
	}
	do.mu.Unlock()
	switch de.Kind {
	case admit.Admitted:
		return verdict{start: true}
	case admit.Refused:
		return verdict{reason: string(de.Reason), after: de.RetryAfter}
	}
	return do.wait(ctx, dr, wt, de)
}

func (do *door) wait(ctx context.Context, dr *Driver, wt *waiter, de admit.Decision) verdict {
	tm := time.NewTimer(de.Until - dr.now())
	defer tm.Stop()
	reason := string(admit.ReasonWaited)
	select {
	case vd := <-wt.ready:
		return vd
	case <-tm.C:
	case <-ctx.Done():
		reason = ReasonGone
	}
	left := false
	do.with(dr, func(mc *machine) { left = mc.Withdraw(dr.now(), de.Handle) })
	if !left {
		// Its turn came in the same moment.
		return <-wt.ready
	}
	return verdict{reason: reason, after: defaultRetryAfter}
}

// roomy picks among the replicas that have room, and among all where none has:
// the search was admitted, and an attempt that waits at a server is worth more
// than a shard that is not asked.
type roomy struct {
	inner pick.Chooser
	ad    *admission
	// blind is set where limits are off.
	blind bool
}

const (
	// mostRoomy is the number of replicas looked at one by one; of longer
	// lists the pick itself is looked at, up to roomyTries times.
	mostRoomy  = 8
	roomyTries = 3
)

// Pick returns a server of the list, none of tried. A further server for a shard
// needs a token, so that no pattern of refusals makes a storm of messages.
func (ch roomy) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
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

// reasonMoves counts the shards that were not asked of a further server.
const reasonMoves = "moveBudget"

func (ch roomy) pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	now := ch.ad.dr.now()
	if len(replicas) > mostRoomy {
		return ch.sample(now, replicas, tried)
	}
	var open [mostRoomy]view.ServerID
	n := 0
	for _, id := range replicas {
		if ch.room(now, id) {
			open[n] = id
			n++
		}
	}
	if n > 0 && n < len(replicas) {
		if id, ok := ch.inner.Pick(open[:n], tried); ok {
			return id, true
		}
	}
	return ch.inner.Pick(replicas, tried)
}

func (ch roomy) sample(now time.Duration, replicas, tried []view.ServerID) (view.ServerID, bool) {
	id, ok := ch.inner.Pick(replicas, tried)
	for range roomyTries - 1 {
		if !ok || ch.room(now, id) {
			break
		}
		id, ok = ch.inner.Pick(replicas, tried)
	}
	return id, ok
}

func (ch roomy) room(now time.Duration, id view.ServerID) bool {
	return ch.blind || int(id) >= ch.ad.limits.Len() || ch.ad.limits.Room(now, id)
}
