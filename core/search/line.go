package search

import "time"

// line holds the shards that may still be hedged, the longest waiting first. It
// is threaded through the shards, so that a reply takes its shard out at a cost
// that does not grow with the number of shards.
type line struct {
	first, last int32
	size        int
}

// enqueue puts a shard at the end of the line; times only grow, so that the
// line stays in order.
func (mc *Machine) enqueue(i int) {
	sh := &mc.shards[i]
	if mc.cfg.Once || mc.cfg.HedgeDelay <= 0 || sh.lined {
		return
	}
	sh.lined = true
	sh.prev, sh.next = none, none
	if mc.line.size == 0 {
		mc.line.first = int32(i)
	} else {
		sh.prev = mc.line.last
		mc.shards[mc.line.last].next = int32(i)
	}
	mc.line.last = int32(i)
	mc.line.size++
}

func (mc *Machine) dequeue(i int) {
	sh := &mc.shards[i]
	if !sh.lined {
		return
	}
	sh.lined = false
	mc.line.size--
	if sh.prev == none {
		mc.line.first = sh.next
	} else {
		mc.shards[sh.prev].next = sh.next
	}
	if sh.next == none {
		mc.line.last = sh.prev
	} else {
		mc.shards[sh.next].prev = sh.prev
	}
}

// hedge sends a second attempt for the shards that straggle. One that no token is
// left for waits as long again.
func (mc *Machine) hedge(now time.Duration) {
	for mc.line.size > 0 {
		i := int(mc.line.first)
		sh := &mc.shards[i]
		if now-sh.started < mc.cfg.HedgeDelay {
			return
		}
		mc.dequeue(i)
		bu, ok := mc.allow(now, sh)
		if !ok {
			sh.started = now
			mc.enqueue(i)
			continue
		}
		if !mc.send(now, i, AttemptHedge, "") {
			bu.Refund()
			continue
		}
		// The hedge may straggle as well: with many shards that is what
		// the slowest answers are made of.
		sh.started = now
		mc.enqueue(i)
	}
}

// allow takes a token for a second attempt and tells from where. An attempt that
// has taken so long that it counts as lost may use a retry's.
func (mc *Machine) allow(now time.Duration, sh *shard) (Budget, bool) {
	if mc.cfg.HedgeBudget.Spend() {
		return mc.cfg.HedgeBudget, true
	}
	lost := mc.cfg.LostDelay > 0 && now-mc.subs[sh.last].started >= mc.cfg.LostDelay
	if lost && mc.cfg.RetryBudget.Spend() {
		return mc.cfg.RetryBudget, true
	}
	return nil, false
}

// sleep asks to be woken at the next time at which something could change.
func (mc *Machine) sleep(now time.Duration) {
	at := mc.cfg.Hard
	if now < mc.cfg.Soft {
		at = min(at, mc.cfg.Soft)
	}
	if mc.line.size > 0 {
		at = min(at, mc.shards[mc.line.first].started+mc.cfg.HedgeDelay)
	}
	if at == mc.wake {
		return
	}
	mc.wake = at
	mc.actions = append(mc.actions, Action{Kind: ActWake, At: at})
}
