// Package pace estimates how much work this VM can do, from what it observes of itself: how late
// its timers fire, how long its requests take until they are sent, and how long they keep it busy.
//
// # Usage
//
//	es := pace.New(pace.Config{})
//	es.Sent(now, weight, now-started)  // the first sub-requests were written
//	es.Late(late)                      // a timer fired late
//	es.End(now, weight, busy, limited) // a request ended, which waited for servers the rest of its time
//	if inProgress+weight <= es.Window() { ... }
//
// # How
//
// Work is counted in weights; the weight of a request is the number of its sub-requests. The
// window is the weight that may be in progress on this VM at once; a request that waits for servers
// is not. It grows while it limits the work in progress and the run queue's delay is below what is
// allowed, the less the closer it gets, is cut in proportion once the delay is above, and shrinks
// while it is not used up. By Little's law the window divided by the time that a request is in
// progress is the work per second, and both follow a change of capacity within a
// few requests. A processor time reading would not: a VM that has a fixed part of a core does not
// know how much of it its neighbours leave.
//
// An Estimator is not safe for concurrent use.
package pace
