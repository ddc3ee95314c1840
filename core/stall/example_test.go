package stall_test

import (
	"fmt"
	"time"

	"laburnumvane/core/stall"
)

// Connection a goes silent under its request while b and c go on answering.
func Example() {
	tr := stall.New[string](stall.Config{})
	due := 30 * time.Second
	tr.Begin(0, "a", due)
	for i := range 100 {
		now := time.Duration(i) * 10 * time.Millisecond
		for _, key := range []string{"b", "c"} {
			tr.Begin(now, key, now+due)
			tr.Answer(now+5*time.Millisecond, key)
		}
	}
	fmt.Println(tr.Silent(time.Second, nil))
	// Output: [a]
}
