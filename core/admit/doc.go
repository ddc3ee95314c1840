// Package admit is admission control: it decides which searches may start, which
// wait and which are refused, before anything is sent. A search that it refuses
// did not run.
//
// Classes have strict priority, and each lower class may use only a part of the
// capacity, so that a search of a higher class can usually start at once. Within a
// class, the teams take turns by deficit round robin, weighted by the cost of
// their searches. A search waits only if its estimated wait is well below the time
// left until its deadline; otherwise it is refused at once, with a reason and a
// time after which to retry.
//
// # Usage
//
//	mc := admit.New[*waiter](admit.Config{HasCapacity: pool.HasCapacity})
//	de := mc.Offer(now, admit.Request{Class: admit.Urgent, Team: 3, Cost: 10, Deadline: now + 200*time.Millisecond}, waiter)
//	switch de.Kind {
//	case admit.Admitted: // send; mc.ConfirmStart(); at the end mc.Done(now, admit.Urgent, took, false)
//	case admit.Queued:   // wait for a grant, at most until de.StartBy, then mc.Withdraw(now, de.Handle)
//	case admit.Refused:  // answer with de.Reason and de.RetryAfter
//	}
//	for _, gr := range mc.Step(now) { gr.Waiter.notify(gr.Start, gr.Reason, gr.RetryAfter) }
//
// A Gate decides on routed requests in the same way, by client account and by the capacity of this VM
// (see docs/design/admission.md):
//
//	ga := admit.NewGate[*waiter](admit.GateConfig{})
//	vd := ga.Offer(now, arrival, waiter)  // then Step, as above
//	arrival = ga.Sent(now, arrival, took) // once a request that was started was sent; then Step
//	ga.Done(now, arrival, took, 0)        // at its end; then Step
//
// A Machine or Gate is not safe for concurrent use; its owner guards it with a mutex.
// Times are monotonic, measured from the start of the process. A time before that
// of an earlier call counts as the earlier one.
package admit
