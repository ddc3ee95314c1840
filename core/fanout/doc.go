// Package fanout distributes one request to the services that it needs: a single service, or all
// shards of a gathered route. A Machine decides what to send where, when to hedge or retry, and
// when and what to answer. It does no I/O and reads no clock.
//
// # Usage
//
//	mc := fanout.New(cfg)
//	perform(mc.Start(now))
//	for ev := range events {
//		perform(mc.Step(now, ev))
//	}
//
// The returned actions are valid until the next call. ActAnswer is given once; nothing is sent
// after it.
//
// # What may be sent again
//
// An idempotent request may be sent to another server if the first one is late or failed. Any
// other request is sent again only if the previous attempt provably did not run: no byte of it
// left this VM, or the server itself said so. A broken connection proves nothing.
//
// # Requests that crash servers
//
// A server may crash because of the request. Once a server ended the connection and none has
// answered yet, the request is sent to one further server at a time, as a trial; see crash.go.
//
// # What is answered
//
// OutcomeServed needs an answer from every shard, or from at least MinParts of them once the
// target time is reached or the others can no longer answer. OutcomeNotRun is given only if no
// attempt can have run. Everything else is OutcomeFailed: the request may have run. The answer is
// given as soon as it is certain, so that callers do not wait for a deadline that cannot improve
// it.
package fanout
