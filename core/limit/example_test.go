package limit_test

import (
	"fmt"
	"time"

	"laburnumvane/core/limit"
)

func Example() {
	tb := limit.New(limit.Config{InitialLimit: 1})
	tb.Add(0, limit.GroupKey{Team: "wash", Register: "members", Service: "s1"})
	pool := tb.Pool(limit.PoolKey{Team: "wash", Register: "members"})

	const batch = 2
	fmt.Println(pool.HasCapacity(0, batch))
	tb.Begin(0, 0)
	fmt.Println(pool.HasCapacity(time.Millisecond, batch))
	tb.End(10*time.Millisecond, 0, limit.Sample{Kind: limit.Replied, Latency: 10 * time.Millisecond, Running: 1})
	fmt.Println(pool.HasCapacity(10*time.Millisecond, batch))
	// Output:
	// true
	// false
	// true
}
