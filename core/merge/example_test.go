package merge_test

import (
	"fmt"

	"laburnumvane/core/merge"
)

// Two shards answer while a register is being repartitioned: one member is on both.
func Example() {
	mg := merge.New(merge.Config{Limit: 2})
	mg.Add([]merge.Hit{{Member: "ada", Key: "1"}, {Member: "ben", Key: "3"}}, false)
	mg.Add([]merge.Hit{{Member: "ada", Key: "1"}, {Member: "cyd", Key: "2"}}, false)
	found, truncated := mg.Result()
	for _, hi := range found {
		fmt.Println(hi.Key, hi.Member)
	}
	fmt.Println("more:", truncated)
	// Output:
	// 1 ada
	// 2 cyd
	// more: true
}
