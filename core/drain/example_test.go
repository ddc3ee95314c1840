package drain_test

import (
	"fmt"
	"time"

	"laburnumvane/core/drain"
)

// A stop with one search in flight: the listeners stay open for the balancer's lag, and the exit
// waits for the search.
func Example() {
	ma := drain.New(drain.Config{BalancerLag: 5 * time.Second, Grace: 70 * time.Second})
	step := func(now time.Duration, ev drain.Event) {
		for _, ac := range ma.Step(now, ev) {
			fmt.Println(now, ac.Kind)
		}
	}
	step(0, drain.Booted{})
	step(1*time.Second, drain.Load{InFlight: 1})
	step(1*time.Second, drain.Signal{})
	step(6*time.Second, drain.Tick{})
	step(7*time.Second, drain.Load{InFlight: 0})
	step(7*time.Second, drain.CallersClosed{})
	// Output:
	// 1s failHealth
	// 1s announce
	// 1s handOver
	// 6s closeCallers
	// 7s closeInner
	// 7s exit
}
