package stall_test

import (
	"fmt"
	"time"

	"laburnumvane/core/stall"
)

// Connection "a" loses its request while "b" keeps answering.
func ExampleTracker() {
	tr := stall.New[string](stall.Config{})
	now := time.Second // monotonic, from the start of the process
	tr.Begin(now, "a", now+30*time.Second)
	for range 100 {
		tr.Begin(now, "b", now+30*time.Second)
		now += 8 * time.Millisecond
		tr.Answer(now, "b")
	}
	fmt.Println(tr.Silent(now, nil))
	// Output: [a]
}
