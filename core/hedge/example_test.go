package hedge_test

import (
	"fmt"
	"time"

	"laburnumvane/core/hedge"
)

// The delay is the ceiling until there are enough observations to estimate the quantile. Then it
// follows the quantile.
func Example() {
	tr := hedge.New(hedge.Config{Quantile: 0.9, Floor: 2 * time.Millisecond, Ceiling: time.Second})
	fmt.Println(tr.Delay())
	for i := range 5000 {
		tr.Observe(time.Duration(1+i%100) * time.Millisecond)
	}
	delay := tr.Delay()
	fmt.Println(delay > 80*time.Millisecond, delay < 100*time.Millisecond)
	// Output:
	// 1s
	// true true
}
