// Package search runs one search over the shards of one snapshot. A Machine
// decides what to send, to which server, when to retry, and when and what to
// answer. It does no I/O and reads no clock, so that any harness can drive it
// and a recorded sequence of events always gives the same actions.
//
// # Usage
//
//	mc := search.New(cfg)
//	for _, ac := range mc.Start(now) {
//		perform(ac)
//	}
//	for ev := range events {
//		for _, ac := range mc.Step(now, ev) {
//			perform(ac)
//		}
//	}
//
// The actions returned are valid until the next call. There is exactly one
// ActAnswer; events after it only end the remaining sub-requests.
//
// # Guarantees
//
// Coverage is the number of shards whose reply under one snapshot is part of the
// answer, divided by the number of shards in that snapshot's own map. The outcome
// notRun is given only if no sub-request can have run: none left this VM, or each
// one that did was refused by its server. If that is not certain, the outcome is
// unknown.
//
// # Snapshots
//
// A server may answer from another snapshot than the one requested; the version
// in the reply is authoritative. Replies are grouped by that version, and an
// answer is made of one group only. A shard that answered with another version is
// retried on a replica not yet tried. If a newer version covers more shards than
// the pinned one, a repeatable search restarts on it, once, and keeps the replies
// already received under it.
//
// # Retries and hedges
//
// Each attempt after the first goes to a server not yet asked for that shard
// under that snapshot. An attempt needs no token if the one before it cost no
// server any work: nothing was sent, or the server is leaving. All others spend a
// token, also those after a server shed the request. Otherwise an overloaded
// service would receive more requests the more it sheds.
package search
