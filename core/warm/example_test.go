package warm_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/warm"
)

// A server comes up: its connections are opened one, then two, then four at a
// time, up to the limit, however many requests wait.
func Example() {
	ga := warm.New(warm.Config{Limit: 6, Rand: rand.New(rand.NewPCG(1, 1))})
	for ga.Open() < ga.Limit() {
		at := 0
		for ga.MayOpen(time.Duration(0)) {
			ga.Begin()
			at++
		}
		for range at {
			ga.Opened()
		}
		fmt.Println("opened", at)
	}
	// Output:
	// opened 1
	// opened 2
	// opened 3
}
