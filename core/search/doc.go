// Package search takes one search over the shards of one snapshot. A Machine
// decides what to send, to which server, when to try again, and when and what
// to answer; it does no I/O and knows no clock, so that any harness can drive it
// and a session replays to the byte.
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
// The actions returned are valid until the next call. Once ActAnswer was
// returned no other answer follows; later events only settle sub-requests.
//
// # What it promises
//
// Coverage counts the shards whose reply under one snapshot is in the answer,
// over the shards of that snapshot's own map. Outcome notRun is given only if
// no sub-request can have run: none left this VM, or each one that did was
// refused by its server. In doubt the outcome is unknown.
//
// # Snapshots
//
// The snapshot asked for is a wish; the version on a reply is the fact. Replies
// are grouped by that version, and an answer is made of one group. A shard that
// answered another version is asked again on a replica not tried yet. Where the
// newer version is ahead of the pinned one, a repeatable search starts over on
// it, once, and keeps what was already found under it.
//
// # Extra work
//
// Each attempt after the first goes to a server not yet asked for that shard
// under that snapshot. Attempts after one that cost no server any work are free:
// nothing was sent, or the server is leaving. All others spend a token, those
// after a shed included, so that a service without room is not asked the more
// the less room it has.
package search
