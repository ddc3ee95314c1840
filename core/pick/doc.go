// Package pick chooses a replica for a sub-request from what this VM has seen
// itself: work in flight, recent latency, failures and refusals.
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
// A Table may be used from many goroutines; a Chooser belongs to one search.
//
// # Rules
//
// The cost of a server is the wait that a new sub-request would see there: work
// of this VM ahead of it times recent latency, raised by the share of failures
// and refusals. An error that comes back fast says nothing good about a server,
// so failures never lower the latency, and a server that failed most lately is
// sick: it is left out, but for a probe now and then.
//
// At most half of a shard's live replicas are ever left out for sickness. Where
// more look sick, the cause is more likely on this side, or common to all, and
// to crowd the rest would turn a partial fault into a whole one.
//
// Of two servers drawn at random the cheaper is taken: that spreads load nearly
// as well as looking at all, and does not send every VM to the same one. The
// own data centre goes first until its best costs clearly more than the best
// elsewhere. A server with a low weight (cold, shedding, suspect) is drawn that
// much more seldom.
package pick
