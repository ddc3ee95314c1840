// Package change defines the stored form of a team's configuration in the key-value service, and
// the protocol to change it. Each team has one key. Its value holds the document in force, its
// revision and the most recent changes. A Proposer is a state machine that proposes one change and
// determines its result.
//
// # Usage
//
// The machine has no I/O; its caller makes the calls and passes the results back:
//
//	pr := change.NewProposer(change.Config{Proposal: proposal, Deadline: now + timeout, Rand: rnd})
//	for _, ac := range pr.Step(now, change.Begin{}) {
//		switch ac := ac.(type) {
//		case change.Get:    // read ac.Key, then Step with Got or GetFailed
//		case change.Swap:   // compare-and-swap ac.Key, then Step with Swapped or SwapFailed
//		case change.Wake:   // Step with Tick at ac.At
//		case change.Report: // the result; the machine has ended
//		}
//	}
//
// The most recent changes are part of the value itself, so that one compare-and-swap writes a
// change together with the proof of it. If the answer to a swap is lost, reading the value back
// determines the result. Either the change's id is in the history and it was accepted; or the
// history is complete since the revision that the change was based on and does not list it, so it
// was not; or neither holds and the result is unknown.
package change
