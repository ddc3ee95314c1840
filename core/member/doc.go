// Package member lets the VMs of a fleet know each other without a service that
// keeps the list of them. It is a state machine without I/O: it is stepped with
// the time and an event, and returns what to send.
//
// # Usage
//
//	ma, err := member.New(member.Config{Self: self, Random: rnd})
//	for {
//		// an event: a timer at ma.Wake(), a message, an answer, a failure
//		for _, ac := range ma.Step(now, ev) {
//			switch ac := ac.(type) {
//			case member.Send:   // send ac.Message to ac.To; then Answered or Failed
//			case member.Ask:    // ask ac.Helper to try ac.Target; then HelpDone
//			case member.Reply:  // answer the request ac.Tag
//			case member.Helped: // answer the request for help ac.Tag
//			case member.Changed, member.Woke:
//			}
//		}
//	}
//
// Times are durations since the start of the process. A Machine is not safe for
// use from several goroutines.
//
// # How it works
//
// The platform's VM list gives candidates only; it lags and may be wrong both
// ways. A VM counts once it was heard from, by this VM or by one that was.
//
// Within a data centre the VMs stand on a few rings, each ordered by a hash of
// its own, and each VM beats its successor on every ring. So each VM has as many
// it watches as watch it, whatever the fleet's size. One that does not answer is
// tried again, directly and through helpers; then it is suspected, told so by
// whatever way is left, and if it does not refute that in time it is gone.
//
// What is known of one process of a VM only ever grows: a count, odd while
// suspected, and the marks leaving and gone. All VMs that have heard the same
// therefore hold the same, in whatever order it came. An incarnation that is
// gone stays gone, and one that is leaving never goes back to live; only a
// higher incarnation replaces it.
//
// Between two data centres only the two VMs of each that rank first for this
// pair talk. They are computed from the membership by every VM, so there is no
// lease to lose; two sets of relays during a change do no harm.
//
// Source: SWIM (Das, Gupta, Motivala 2002) for indirect probes and suspicion;
// Lifeguard (Dadgar, Phillips, Currey 2018) for doubting oneself first.
package member
