// Package spread brings every team's accepted configuration to every VM and
// never lets a revision go down. One machine runs on each VM.
//
// # Usage
//
//	ma := spread.New(spread.Config{Self: self, Rand: rnd, Readable: readable})
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
// Two ranked VMs of each data centre watch the key-value service. What they
// learn, and what a VM itself had accepted, travels down a tree of the data
// centre, drawn anew for each change. Trees lose messages; digests, compared
// with a random peer every second, find what was lost, and a pull repairs it.
// Ranked VMs also compare with those of other data centres, so that one that is
// cut off from the service but not from its peers keeps up.
//
// The calls to the service are bounded by construction: ranked VMs make one a
// second at most, others make none unless they hold nothing at all, and then at
// a pace that falls with the size of the fleet.
package spread
