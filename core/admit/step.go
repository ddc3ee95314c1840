package admit

import "time"

// Step returns the queued searches that may start now and those that are refused
// because they can no longer start in time. The slice is valid until the next call.
func (mc *Machine[W]) Step(now time.Duration) []Grant[W] {
	mc.advanceClock(now)
	clear(mc.grants)
	mc.grants = mc.grants[:0]
	for cl := Urgent; cl < Classes; cl++ {
		mc.grantClass(cl)
		if mc.queues[cl].n > 0 {
			// Lower classes wait while a search of this class waits.
			break
		}
	}
	return mc.grants
}

func (mc *Machine[W]) grantClass(cl Class) {
	cq := &mc.queues[cl]
	for cq.n > 0 {
		i := mc.nextEntry(cq)
		en := &mc.slab.entries[i]
		if en.startBy <= mc.now {
			mc.grants = append(mc.grants, Grant[W]{
				Waiter:     en.waiter,
				Reason:     ReasonQueueTimeout,
				RetryAfter: mc.retryAfter(en.rq),
			})
			mc.unlink(i)
			continue
		}
		if !mc.hasCapacity(cl) {
			return
		}
		cq.teamQueue(en.rq.Team).deficit -= en.rq.Cost
		mc.grants = append(mc.grants, Grant[W]{Waiter: en.waiter, Start: true})
		mc.unlink(i)
		mc.countStart(cl)
	}
}

// nextEntry returns the next search by deficit round robin. A team without credit
// gets its quantum for the next turn and moves to the end of the turns.
func (mc *Machine[W]) nextEntry(cq *classQueue) int32 {
	for {
		tm := cq.frontTeam()
		tq := cq.teamQueue(tm)
		if tq.n == 0 {
			tq.active = false
			cq.popTurn()
			continue
		}
		if tq.deficit > 0 {
			return tq.head
		}
		tq.deficit += mc.quantum
		cq.rotate()
	}
}

// Next is the time at which Step is to be called if no other event calls it before;
// false if no search waits. It is a polling interval, since capacity may become
// available by the passage of time alone.
func (mc *Machine[W]) Next(now time.Duration) (time.Duration, bool) {
	const poll = 5 * time.Millisecond
	if mc.Waiting() == 0 {
		return 0, false
	}
	return now + poll, true
}
