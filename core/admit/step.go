package admit

import "time"

// Step hands out who may start now, and refuses those whose time has passed.
// The slice is valid until the next call.
func (mc *Machine[W]) Step(now time.Duration) []Grant[W] {
	mc.advance(now)
	clear(mc.grants)
	mc.grants = mc.grants[:0]
	for cl := Urgent; cl < Classes; cl++ {
		mc.stepClass(cl)
		if mc.queues[cl].n > 0 {
			// Those below wait for as long as one of an upper class does.
			break
		}
	}
	return mc.grants
}

func (mc *Machine[W]) stepClass(cl Class) {
	qu := &mc.queues[cl]
	for qu.n > 0 {
		i := mc.head(qu)
		en := &mc.slab.entries[i]
		if en.until <= mc.now {
			mc.grants = append(mc.grants, Grant[W]{
				Waiter:     en.waiter,
				Reason:     ReasonWaited,
				RetryAfter: mc.retryAfter(en.rq),
			})
			mc.unlink(i)
			continue
		}
		if !mc.room(cl) {
			return
		}
		qu.lane(en.rq.Team).deficit -= en.rq.Cost
		mc.grants = append(mc.grants, Grant[W]{Waiter: en.waiter, Start: true})
		mc.unlink(i)
		mc.start(cl)
	}
}

// head is the next search by deficit round robin. A team without credit gets
// its quantum for the next turn and goes behind the others.
func (mc *Machine[W]) head(qu *queue) int32 {
	for {
		tm := qu.front()
		ln := qu.lane(tm)
		if ln.n == 0 {
			ln.active = false
			qu.leave()
			continue
		}
		if ln.deficit > 0 {
			return ln.head
		}
		ln.deficit += mc.quantum
		qu.rotate()
	}
}

// Next is the time at which Step could do something without any other call;
// it is a poll, since room may come back by the passing of time alone.
func (mc *Machine[W]) Next(now time.Duration) (time.Duration, bool) {
	const poll = 5 * time.Millisecond
	if mc.Waiting() == 0 {
		return 0, false
	}
	return now + poll, true
}
