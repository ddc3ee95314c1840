package limit_test

import (
	"fmt"
	"time"

	"laburnumvane/core/limit"
)

func Example() {
	tb := limit.New(limit.Config{InitialLimit: 1})
	tb.Place(0, limit.GroupKey{Team: "wash", Register: "members", Service: "s1"})
	pool := tb.Pool(limit.PoolKey{Team: "wash", Register: "members"})

	const batch = 2
	fmt.Println(pool.Room(0, batch))
	tb.Begin(0, 0)
	fmt.Println(pool.Room(time.Millisecond, batch))
	tb.End(10*time.Millisecond, 0, limit.Sample{Kind: limit.Replied, Latency: 10 * time.Millisecond, Running: 1})
	fmt.Println(pool.Room(10*time.Millisecond, batch))
	// Output:
	// true
	// false
	// true
}
