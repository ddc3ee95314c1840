// Package vtime runs several state machines against each other in virtual time:
// an agenda of events and a network that loses and delays messages. Tests and
// benchmarks of core build their fleets on it.
//
// # Usage
//
//	type fleet struct {
//		vtime.Agenda[func()]
//		link vtime.Link
//	}
//
//	func (fl *fleet) send(to *vm, ev Event) {
//		if !fl.link.Lost() {
//			fl.After(fl.link.Delay(time.Millisecond), func() { to.step(ev) })
//		}
//	}
//
//	for run := range fl.Until(fl.Now() + time.Minute) {
//		run()
//	}
//
// An event is a function where that reads well, and a value where a run has
// millions of them, or where it must be seen what is under way (Agenda.All).
//
// # The same run every time
//
// Events of one time come out in the order in which they were put in, and all
// chance comes from the generator in Link. A run is thus given by its seed: a
// failure found once is found again, and two policies meet the same losses.
package vtime
