// Package spread distributes each team's accepted configuration to all VMs and never lets a
// revision in force decrease. One Machine runs on each VM.
//
// # Usage
//
//	ma := spread.New(spread.Config{Self: self, Rand: rnd, CheckReadable: readable})
//	for _, ac := range ma.Step(now, spread.Members{VMs: vms}) {
//		switch ac := ac.(type) {
//		case spread.Watch: // wait for the service, then Step with Watched or Failed
//		case spread.Push:  // send, then Step with Acked or Failed
//		case spread.Apply: // put in force
//		...
//		}
//	}
//	// and Step with Tick at ma.Next()
//
// Two VMs of each data centre, selected by rank, watch the key-value service. The updates that
// they receive, and those accepted through a VM itself, are pushed down a tree of the data
// centre, which differs per change. Pushes may be lost. To detect this, each VM compares digests
// with a random peer every second and repairs a difference by a pull. Watching VMs also compare
// with VMs of other data centres, so that a VM that is cut off from the service but not from its
// peers stays up to date.
//
// The rate of calls to the service is bounded by construction: a watching VM makes at most one
// call a second, and the other VMs make none unless they hold no update at all; then their call
// rate falls with the size of the fleet.
package spread
