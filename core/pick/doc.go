// Package pick chooses a replica for a sub-request from this VM's own observations: sub-requests in
// flight, recent latency, failures and refusals.
//
// # Usage
//
//	tb := pick.New(pick.Config{DataCentre: "east"})
//	tb.Grow(vw.Len())
//	ch := tb.Chooser(now, vw, rnd)
//	id, ok := ch.Pick(replicas, tried)
//	tb.Begin(id)
//	tb.End(now, id, pick.Replied, latency)
//
// A Table is safe for concurrent use; a Chooser belongs to one search.
//
// # Rules
//
// The cost of a server is the expected wait of a new sub-request: the sub-requests that this VM has
// in flight there times the recent latency, increased by the shares of failures and refusals. A
// fast error is no sign of a fast server, so failures never lower the latency. A server that has
// failed most recent sub-requests counts as failing: it is excluded, except for an occasional
// probe.
//
// At most half of a shard's live replicas are excluded as failing. If more appear to fail, the
// cause is more likely on this VM, or common to all, and overloading the remaining ones would turn
// a partial failure into a complete one.
//
// Of two servers drawn at random, the cheaper is taken: this spreads load nearly as well as
// comparing all, and does not send the work of every VM to the same server. Servers of this VM's
// data centre are preferred until the best of them costs clearly more than the best elsewhere. A
// server with a low weight (cold, shedding, suspect) is drawn proportionally less often.
package pick
