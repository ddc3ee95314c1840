package share_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/share"
)

func newMachine(vms, teams int) (*share.Machine, []*share.Bucket, []share.Demand) {
	mc := share.New(share.Config{Self: share.VM{Addr: "self"}})
	var others []share.VM
	for i := range vms - 1 {
		others = append(others, share.VM{Addr: strconv.Itoa(i), Incarnation: 1})
	}
	mc.Members(0, others)
	var buckets []*share.Bucket
	var demands []share.Demand
	for i := range teams {
		name := strconv.Itoa(i)
		buckets = append(buckets, mc.Limit(0, name, share.Limit{Rate: 1e9, Concurrent: 1e6}))
		for _, vm := range others {
			demands = append(demands, share.Demand{Team: name, Rate: 10, VM: vm, Sequence: 1})
		}
	}
	mc.Incoming(0, demands)
	return mc, buckets, demands
}

// BenchmarkTake measures the check of a team's limit before each search. The cost does
// not depend on the number of VMs.
func BenchmarkTake(b *testing.B) {
	_, buckets, _ := newMachine(9, 1)
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		if re, _ := buckets[0].Take(now); re == "" {
			buckets[0].Release()
		}
	}
}

// BenchmarkSecond measures the work of the control goroutine for one team in each round:
// it processes the demands of all other VMs, announces its own and recomputes its share.
func BenchmarkSecond(b *testing.B) {
	for _, vms := range []int{9, 100, 4300} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			mc, _, demands := newMachine(vms, 1)
			b.ReportAllocs()
			now := time.Duration(0)
			sequence := uint64(1)
			for b.Loop() {
				now += time.Second
				sequence++
				for i := range demands {
					demands[i].Sequence = sequence
				}
				mc.Incoming(now, demands)
				mc.Outgoing(now)
				mc.Step(now)
			}
		})
	}
}

func TestTakeAllocatesNothing(t *testing.T) {
	is := is.New(t)
	_, buckets, _ := newMachine(9, 1)
	now := time.Second
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		if re, _ := buckets[0].Take(now); re == "" {
			buckets[0].Release()
		}
	}), 0.0)
}
