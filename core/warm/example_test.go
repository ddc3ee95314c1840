package warm_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/warm"
)

// A server refuses the third connection: the gate stays at two and waits before it allows one more
// attempt.
func ExampleGate() {
	ga := warm.New(warm.Config{Limit: 10, Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Second // monotonic, from the start of the process
	for ga.MayOpen(now) {
		ga.Begin()
		if ga.Open() < 2 {
			ga.Opened()
		} else {
			ga.Failed(now, warm.FaultRefused)
		}
	}
	fmt.Println(ga.Open(), ga.BackingOff(now), ga.BackingOff(now+time.Second))
	// Output: 2 true false
}
