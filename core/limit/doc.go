// Package limit adapts the number of sub-requests that this VM may have in flight on
// each upstream server. It uses only what replies, refusals and failures show.
//
// A server's slots are shared by VMs that do not know of each other. Each VM
// increases its limit by a step for each round trip that shows no queue, and
// decreases it by a share for each that does (additive increase, multiplicative
// decrease). Only equal limits are then stable, whatever the number of VMs. The
// increase never stops, so that a limit decreased by a fault recovers. A limit below
// 1 is applied by pacing.
//
// Servers that hold the same shards form a group, and the groups of a register form a
// pool. A search needs every group of its pool, so that a pool has capacity for one
// more search while no group is full. Pool.HasCapacity takes two atomic loads, whatever the
// number of servers.
//
// # Usage
//
//	tb := limit.New(limit.Config{})
//	tb.Add(id, limit.GroupKey{Team: "wash", Register: "members", Service: "s1"})
//	pool := tb.Pool(limit.PoolKey{Team: "wash", Register: "members"})
//	if pool.HasCapacity(now, 1) { // then, for each sub-request:
//		tb.Begin(now, id)
//		tb.End(now, id, limit.Sample{Kind: limit.Replied, Latency: took, Running: 3, Queued: 1})
//	}
//
// Times are monotonic, measured from the start of the process. A Table is safe for
// concurrent use; it has one mutex for each server and each group. The figures of the
// servers' health and load endpoints are not used, since they lag.
package limit
