// Package admit decides which searches may start, which wait and which are
// refused, before anything is sent: a search that it refuses did not run.
//
// Classes go strictly in order, and each lower class may fill only a part of
// the room, so that a search of an upper class finds some. What the upper
// classes leave is the lower ones'. Within a class the teams take turns by
// deficit round robin, weighted by what their searches cost. A search waits
// only where the estimate of its wait is well below what its deadline leaves;
// otherwise it is refused at once, with a reason and a time to come back.
//
// # Usage
//
//	mc := admit.New[*waiter](admit.Config{Room: pool.Room})
//	de := mc.Offer(now, admit.Request{Class: admit.Urgent, Team: 3, Cost: 10, Deadline: now + 200*time.Millisecond}, waiter)
//	switch de.Kind {
//	case admit.Admitted: // send; mc.Begun(); in the end mc.Done(now, admit.Urgent, took, false)
//	case admit.Queued:   // wait for a grant, at most until de.Until, then mc.Withdraw(de.Handle)
//	case admit.Refused:  // answer with de.Reason and de.RetryAfter
//	}
//	for _, gr := range mc.Step(now) { gr.Waiter.tell(gr.Start, gr.Reason, gr.RetryAfter) }
//
// A Machine belongs to one goroutine at a time; its owner guards it with one
// mutex. Times are monotonic and count from the start of the process; a time
// before an earlier one counts as that one.
package admit
