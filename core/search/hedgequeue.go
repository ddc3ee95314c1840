package search

import "time"

// hedgeQueue holds the shards that may still be hedged, the longest waiting
// first. It is a doubly linked list through the elements of Machine.shards, so
// that a reply removes its shard in constant time.
type hedgeQueue struct {
	first, last int32
	size        int
}

// enqueue appends a shard to the hedge queue. Start times only grow, so that the
// queue stays sorted.
func (mc *Machine) enqueue(i int) {
	sh := &mc.shards[i]
	if mc.cfg.AtMostOnce || mc.cfg.HedgeDelay <= 0 || sh.queued {
		return
	}
	sh.queued = true
	sh.prev, sh.next = noIndex, noIndex
	if mc.hedgeQueue.size == 0 {
		mc.hedgeQueue.first = int32(i)
	} else {
		sh.prev = mc.hedgeQueue.last
		mc.shards[mc.hedgeQueue.last].next = int32(i)
	}
	mc.hedgeQueue.last = int32(i)
	mc.hedgeQueue.size++
}

func (mc *Machine) dequeue(i int) {
	sh := &mc.shards[i]
	if !sh.queued {
		return
	}
	sh.queued = false
	mc.hedgeQueue.size--
	if sh.prev == noIndex {
		mc.hedgeQueue.first = sh.next
	} else {
		mc.shards[sh.prev].next = sh.next
	}
	if sh.next == noIndex {
		mc.hedgeQueue.last = sh.prev
	} else {
		mc.shards[sh.next].prev = sh.prev
	}
}

// hedge sends another attempt for each shard that has waited for HedgeDelay. A
// shard for which there is no token waits for another HedgeDelay.
func (mc *Machine) hedge(now time.Duration) {
	for mc.hedgeQueue.size > 0 {
		i := int(mc.hedgeQueue.first)
		sh := &mc.shards[i]
		if now-sh.started < mc.cfg.HedgeDelay {
			return
		}
		mc.dequeue(i)
		bu, ok := mc.takeHedgeToken(now, sh)
		if !ok {
			sh.started = now
			mc.enqueue(i)
			continue
		}
		if !mc.send(now, i, AttemptHedge, "") {
			bu.Refund()
			continue
		}
		// The hedge may be slow as well: with many shards, that is what
		// causes the slowest answers.
		sh.started = now
		mc.enqueue(i)
	}
}

// takeHedgeToken takes a token for a hedge and returns the budget it came from.
// If the attempt has taken LostDelay, the token may come from RetryBudget.
func (mc *Machine) takeHedgeToken(now time.Duration, sh *shard) (Budget, bool) {
	if mc.cfg.HedgeBudget.Spend() {
		return mc.cfg.HedgeBudget, true
	}
	lost := mc.cfg.LostDelay > 0 && now-mc.subs[sh.last].started >= mc.cfg.LostDelay
	if lost && mc.cfg.RetryBudget.Spend() {
		return mc.cfg.RetryBudget, true
	}
	return nil, false
}

// scheduleWake sets the timer to the next time at which something is to be done
// without another event.
func (mc *Machine) scheduleWake(now time.Duration) {
	at := mc.cfg.HardDeadline
	if now < mc.cfg.SoftDeadline {
		at = min(at, mc.cfg.SoftDeadline)
	}
	if mc.hedgeQueue.size > 0 {
		at = min(at, mc.shards[mc.hedgeQueue.first].started+mc.cfg.HedgeDelay)
	}
	if at == mc.wake {
		return
	}
	mc.wake = at
	mc.actions = append(mc.actions, Action{Kind: ActWake, At: at})
}
