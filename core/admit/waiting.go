package admit

import "time"

func (ga *Gate[W]) enqueue(en *Entry[W]) {
	if ga.count == 0 {
		ga.backlogSince = ga.now
	}
	if len(en.fl.queue) == 0 {
		ga.waiting = append(ga.waiting, en.fl)
	}
	en.fl.queue = append(en.fl.queue, en)
	en.fl.queued += en.ar.Cost
	ga.count++
	ga.bytes += en.ar.Bytes
}

func (ga *Gate[W]) dequeue(en *Entry[W]) {
	en.queued = false
	en.fl.remove(en)
	ga.count--
	ga.bytes -= en.ar.Bytes
	if len(en.fl.queue) > 0 {
		return
	}
	for i, fl := range ga.waiting {
		if fl == en.fl {
			ga.waiting = append(ga.waiting[:i], ga.waiting[i+1:]...)
			return
		}
	}
}

// trim removes what waits in excess of what can be started within a time: the newest requests of
// the flows that come last. Otherwise requests that are overtaken would wait until they are late.
// It reports whether the given entry is among them; the others get a Grant.
func (ga *Gate[W]) trim(en *Entry[W], within time.Duration) bool {
	for seconds((ga.queued()+max(0, ga.working()-ga.pace.Window()))/ga.pace.Rate()) > within && ga.count > 1 {
		last := ga.waiting[0]
		for _, fl := range ga.waiting[1:] {
			if ga.before(last, fl) {
				last = fl
			}
		}
		out := last.queue[len(last.queue)-1]
		ga.dequeue(out)
		if out == en {
			return true
		}
		ga.trimmed = append(ga.trimmed, out)
	}
	return false
}

// queued returns the cost that waits.
func (ga *Gate[W]) queued() float64 {
	sum := 0.0
	for _, fl := range ga.waiting {
		sum += fl.queued
	}
	return sum
}

// Step returns the waiting requests that may start now and those that are refused because they
// can no longer be answered in time. The slice is valid until the next call.
func (ga *Gate[W]) Step(now time.Duration) []Grant[W] {
	ga.advance(now)
	clear(ga.grants)
	ga.grants = ga.grants[:0]
	for _, en := range ga.trimmed {
		ga.refuseEntry(ReasonWaitTooLong, en)
	}
	ga.trimmed = ga.trimmed[:0]
	for ga.count > 0 {
		best := ga.waiting[0]
		for _, fl := range ga.waiting[1:] {
			if ga.before(fl, best) {
				best = fl
			}
		}
		en := best.next(ga.now)
		if en.startBy <= ga.now || en.targetBy <= ga.now && ga.lasting() {
			ga.dequeue(en)
			ga.refuseEntry(ReasonQueueTimeout, en)
			continue
		}
		if !ga.hasRoom(en.ar.Cost) {
			break
		}
		ga.dequeue(en)
		ga.start(en.fl, en.ar)
		ga.grants = append(ga.grants, Grant[W]{Waiter: en.waiter, Start: true})
	}
	return ga.grants
}
