// Package limit finds how many sub-requests this VM may have in flight on each
// upstream server, from what replies show and from nothing else.
//
// A server's slots are shared by VMs that cannot see each other. Each VM raises
// its limit by a step for each round trip that shows no queue, and cuts it by a
// share for each that does: only like limits are then at rest, whatever the
// number of VMs, and the step up never ends, so a limit that was cut by a fault
// comes back. A limit below 1 is kept by pacing.
//
// Servers that hold the same shards are a group, and the groups of a register
// are a pool. A search needs every group of its pool, so a pool has room for
// one more while no group has all that its servers may take: Room is two loads,
// whatever the number of servers.
//
// # Usage
//
//	tb := limit.New(limit.Config{})
//	tb.Place(id, limit.GroupKey{Team: "wash", Register: "members", Service: "s1"})
//	pool := tb.Pool(limit.PoolKey{Team: "wash", Register: "members"})
//	if pool.Room(now, 1) { // then, for each sub-request:
//		tb.Begin(now, id)
//		tb.End(now, id, limit.Sample{Kind: limit.Replied, Latency: took, Running: 3, Queued: 1})
//	}
//
// Times are monotonic and count from the start of the process. A Table may be
// used from many goroutines; there is one small mutex for each server and group.
// Figures of the health and load endpoints are no input: they lag.
package limit
