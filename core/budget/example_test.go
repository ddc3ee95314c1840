package budget_test

import (
	"fmt"

	"laburnumvane/core/budget"
)

// A search of 270 shards earns eight hedges at three per cent. The burst serves the first
// searches after a quiet period.
func Example() {
	bu := budget.New(budget.Config{Share: 0.03, Burst: 20})
	for bu.Spend() {
	}
	bu.Earn(270)
	hedges := 0
	for bu.Spend() {
		hedges++
	}
	fmt.Println(hedges)
	// Output: 8
}
