// Package change is the life of a team's configuration in the key-value
// service: one key for each team, whose value holds the document in force, its
// revision and the last changes, and a machine that proposes one more change
// and settles what became of it.
//
// # Usage
//
// The machine decides; its owner makes the calls and hands back what came:
//
//	pr := change.NewProposer(change.Config{Proposal: proposal, Deadline: now + patience, Rand: rnd})
//	for _, ac := range pr.Step(now, change.Begin{}) {
//		switch ac := ac.(type) {
//		case change.Get:    // read ac.Key, then Step with Got or GetFailed
//		case change.Swap:   // swap ac.Key, then Step with Swapped or SwapFailed
//		case change.Wake:   // Step with Tick at ac.At
//		case change.Report: // the end
//		}
//	}
//
// The last changes stand in the value itself, so that one compare-and-swap
// writes a change and the proof of it. A swap whose answer was lost is settled
// by reading the value back: the id is in the history, or the history is whole
// since the revision that the change was made from and does not list it, or
// nobody can tell and the result is unknown.
package change
