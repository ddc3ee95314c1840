// Package member maintains the membership of a fleet by a gossip protocol between its VMs, without
// a central service that keeps the list. It is a state machine without I/O: each step takes the
// time and an event, and returns the messages to send.
//
// # Usage
//
//	ma, err := member.New(member.Config{Self: self, Random: rnd})
//	for {
//		// an event: a timer at ma.Wake(), a message, a reply, a failure
//		for _, ac := range ma.Step(now, ev) {
//			switch ac := ac.(type) {
//			case member.Send:   // send ac.Message to ac.To; then Answered or Failed
//			case member.Ask:    // ask ac.Helper to probe ac.Target; then HelpDone
//			case member.Reply:  // reply to the request ac.Tag
//			case member.HelpReply: // reply to the probe request ac.Tag
//			case member.Changed, member.Resumed:
//			}
//		}
//	}
//
// Times are durations since the start of the process. A Machine is not safe for concurrent use.
//
// # How it works
//
// The platform's VM list only provides candidates; it lags, may omit running VMs and may contain
// stopped ones. A VM becomes a member once a message from it has reached this VM or another member.
//
// Within a data centre the VMs form a few rings, each ordered by its own hash, and each VM sends
// beats (heartbeats) to its successor on every ring. Each VM therefore monitors as many VMs as
// monitor it, whatever the size of the fleet. A VM that does not answer is probed again, directly
// and through helpers. If nobody reaches it, it is suspected, and the suspicion is sent to it by
// every path that still works. If it does not refute the suspicion in time, it is declared gone.
//
// The state of one process of a VM is monotonic: a counter, odd while the process is suspected, and
// the flags Leaving and Gone, which are never cleared. All VMs that have received the same updates
// therefore hold the same state, in whatever order the updates arrived. An incarnation that is gone
// stays gone, and one that is leaving never becomes live again; only a higher incarnation replaces
// it.
//
// Between two data centres, only the two VMs of each that rank first for this pair exchange beats
// (the relays). Every VM computes them from the membership, so no lease is needed; two sets of
// relays during a change do no harm.
//
// Source: SWIM (Das, Gupta, Motivala 2002) for indirect probes and suspicion;
// Lifeguard (Dadgar, Phillips, Currey 2018) for suspecting the local VM before others.
package member
