// Package vtime simulates several state machines in virtual time, with an agenda
// of events and a network that loses and delays messages. Tests and benchmarks of
// core build simulated fleets with it.
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
// Functions are convenient as events. Use values instead if a run has millions of
// events, or if pending events must be inspected (Agenda.All).
//
// # Reproducible runs
//
// Events due at the same time are returned in the order in which they were
// scheduled, and the generator in Link is the only source of randomness. A run is
// thus determined by its seed: failures can be reproduced, and two policies can
// be compared with the same losses.
package vtime
