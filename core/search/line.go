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
	if mc.cfg.Once || mc.cfg.HedgeDelay <= 0 || sh.hedged || sh.lined {
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

// patience is how long the longest waiting shard may take before it is hedged;
// 0 means that it is not hedged as things stand.
func (mc *Machine) patience() time.Duration {
	if mc.pinned.shards-mc.pinned.answered <= mc.cfg.HedgeLast {
		return mc.cfg.HedgeDelay
	}
	return mc.cfg.LostDelay
}

// hedge sends a second attempt for the shards that straggle.
func (mc *Machine) hedge(now time.Duration) {
	wait := mc.patience()
	if wait == 0 {
		return
	}
	for mc.line.size > 0 {
		i := int(mc.line.first)
		sh := &mc.shards[i]
		if now-sh.started < wait {
			return
		}
		mc.dequeue(i)
		sh.hedged = true
		if !mc.cfg.HedgeBudget.Spend() {
			continue
		}
		if !mc.send(now, i, AttemptHedge, "") {
			mc.cfg.HedgeBudget.Refund()
		}
	}
}

// sleep asks to be woken at the next time at which something could change.
func (mc *Machine) sleep(now time.Duration) {
	at := mc.cfg.Hard
	if now < mc.cfg.Soft {
		at = min(at, mc.cfg.Soft)
	}
	if wait := mc.patience(); wait > 0 && mc.line.size > 0 {
		at = min(at, mc.shards[mc.line.first].started+wait)
	}
	if at == mc.wake {
		return
	}
	mc.wake = at
	mc.actions = append(mc.actions, Action{Kind: ActWake, At: at})
}
