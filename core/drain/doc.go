// Package drain decides the course of a planned stop, so that it cuts off no
// request. It is a state machine without I/O.
//
// # Usage
//
//	ma := drain.New(drain.Config{BalancerLag: 5 * time.Second, Grace: 70 * time.Second})
//	for _, ac := range ma.Step(now, drain.Signal{}) {
//		// do it
//	}
//	// Tick at ma.Wake(), CallersClosed, Load whenever it may have changed
//
// # The course
//
// Health fails and the peers are told at once; the balancer goes on sending for
// a while, so the listeners go on too, and each answer closes its connection.
// When the balancer has stopped, the callers' and operators' listeners close and
// what is in flight is finished. Peers are listened to for longer: another VM may
// forward a search with a ticket that this one issued, and no other VM can tell
// what became of it. So the inner listener stays until the last ticket has
// expired or the grace ends. A VM that issued no ticket and has nothing in
// flight stops with the balancer's lag.
//
// Only what is in flight at the end of the grace is cut off; the exit code is 1
// then. Tickets that outlive the grace are no cut: their holders are told
// unknown, as after any loss of the issuer.
package drain
