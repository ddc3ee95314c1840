package share_test

import (
	"fmt"
	"time"

	"laburnumvane/core/share"
)

func Example() {
	self := share.VM{Addr: "10.0.0.1:7001", Incarnation: 1}
	other := share.VM{Addr: "10.0.0.2:7001", Incarnation: 1}
	mc := share.New(share.Config{Self: self})
	mc.Members(0, []share.VM{other})
	bucket := mc.Limit(0, "wash", share.Limit{Rate: 20})
	fmt.Printf("new: %.2f\n", mc.Share("wash"))

	for second := range 20 {
		now := time.Duration(second) * time.Second
		for i := range 15 {
			if reason, _ := bucket.Take(now + time.Duration(i)*66*time.Millisecond); reason == "" {
				bucket.Release()
			}
		}
		mc.Incoming(now, []share.Demand{{Team: "wash", Rate: 5, VM: other, Sequence: uint64(second + 1)}})
		mc.Outgoing(now + 999*time.Millisecond)
		mc.Step(now + 999*time.Millisecond)
	}
	fmt.Printf("three times the other's demand: %.2f\n", mc.Share("wash"))
	// Output:
	// new: 0.50
	// three times the other's demand: 0.75
}
