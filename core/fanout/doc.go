// Package fanout takes one request over the services that it needs: one of them,
// or all shards of a gathered route. A Machine decides what to send where, when
// to send again, and when and what to answer. It does no I/O and knows no clock.
//
// # Usage
//
//	mc := fanout.New(cfg)
//	perform(mc.Start(now))
//	for ev := range events {
//		perform(mc.Step(now, ev))
//	}
//
// The actions returned are valid until the next call. After ActAnswer there is
// no other answer, and nothing more is sent.
//
// # What may be sent again
//
// An idempotent request may be sent to another server whenever the first is late
// or failed. Any other request is sent again only where the attempt before
// provably did not run: nothing left this VM, or the server itself said so. A
// connection that broke proves nothing.
//
// # What is sent on with care
//
// A server may end because of the request. Once one ended the connection, and none has
// answered, a further server is asked alone, as a trial; see ward.go.
//
// # What is answered
//
// OutcomeServed needs an answer of every shard, or of enough of them once the
// target time is reached or the rest cannot answer any more. OutcomeNotRun is
// given only if no attempt can have run. Everything else is OutcomeFailed: it
// may have run. An answer is given as soon as it is certain, so that a caller is
// not kept waiting for a deadline that cannot help it.
package fanout
