// Package drain controls the planned stop of a process so that no request is cut off. It is a state
// machine without I/O.
//
// # Usage
//
//	ma := drain.New(drain.Config{BalancerLag: 5 * time.Second, Grace: 70 * time.Second})
//	for _, ac := range ma.Step(now, drain.Signal{}) {
//		// carry out the action
//	}
//	// then step with Tick at ma.Wake(), CallersClosed, and Load whenever it may have changed
//
// # Sequence
//
// At the signal the health check starts to fail and the other VMs are informed. The balancer still
// sends requests for a while, so the listeners stay open and each answer closes its connection.
// After this lag the listeners of callers and operators are closed, and requests in flight are
// finished. The listener of the other VMs stays open longer: another VM may forward a search with a
// ticket that this VM issued, and only this VM knows what became of that search. It is closed when
// the last ticket has expired or the grace has ended. A VM that issued no tickets and has nothing
// in flight stops after the balancer's lag.
//
// Only requests in flight at the end of the grace are cut off; the exit code is 1 then. Tickets
// that expire after the grace do not count as cut off: their holders get the result unknown, as
// after any loss of the issuer.
package drain
