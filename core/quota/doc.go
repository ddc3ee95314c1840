// Package quota keeps the limits of client accounts over all VMs.
//
// # Usage
//
//	li := quota.New(quota.Config{Bounds: bounds, DataCentres: 3})
//	tr := quota.Attempt{}
//	de := li.Take(now, account, holders, &tr)
//	// Granted: run the request; then Return the token if it did not run, or call Done.
//	// Waiting: call de.Call.Peer if it is set, Take again after its Reply or at de.Until.
//	// Refused, Unreachable: refuse the request.
//	li.Reply(now, call, reply)
//	reply, call := li.Serve(now, account, holders, want, borrow) // on the called VM
//
// # Parts of a limit
//
// In each data centre up to two VMs, the holders of an account, have a part of its rate and burst
// as a token bucket. The parts of all holders never exceed the limit, so holders need no agreement
// and a partition cannot multiply a limit. Holders lend each other tokens; other VMs get tokens
// from holders, several at once if they ask often.
//
// An account whose part would be less than minPart tokens has one holder in each data centre: a
// bucket that cannot hold a whole token would borrow for each request.
package quota
