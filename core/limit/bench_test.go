package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/limit"
	"laburnumvane/core/view"
)

// newTable returns a table of servers in groups of three, all of one register.
func newTable(servers int) (*limit.Table, *limit.Pool) {
	tb := limit.New(limit.Config{})
	for i := range servers {
		tb.Add(view.ServerID(i), limit.GroupKey{Service: fmt.Sprint(i / 3)})
	}
	return tb, tb.Pool(limit.PoolKey{})
}

// BenchmarkSubRequest measures the cost of the limits for one sub-request: HasCapacity for
// three replicas, Begin and End. The servers are random, so that the memory of all of
// them is accessed.
func BenchmarkSubRequest(b *testing.B) {
	for _, servers := range []int{10, 1000, 32_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			tb, _ := newTable(servers)
			rnd := rand.New(rand.NewPCG(1, 1))
			ids := make([]view.ServerID, 4096)
			for i := range ids {
				ids[i] = view.ServerID(rnd.IntN(servers - 2))
			}
			b.ReportAllocs()
			now := time.Duration(0)
			i := 0
			for b.Loop() {
				now += time.Microsecond
				id := ids[i&4095]
				i++
				for k := range view.ServerID(3) {
					tb.HasCapacity(now, id+k)
				}
				tb.Begin(now, id)
				tb.End(now, id, limit.Sample{Kind: limit.Replied, Latency: 10 * time.Millisecond, Running: 3})
			}
		})
	}
}

// BenchmarkRoom measures whether a search may start, over all groups of its register.
func BenchmarkRoom(b *testing.B) {
	for _, servers := range []int{10, 1000, 32_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			_, pool := newTable(servers)
			b.ReportAllocs()
			for b.Loop() {
				pool.HasCapacity(time.Second, 1)
			}
		})
	}
}

func TestSubRequestAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tb, pool := newTable(30)
	now := time.Duration(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		pool.HasCapacity(now, 0)
		tb.Begin(now, 4)
		tb.End(now, 4, limit.Sample{Kind: limit.Replied, Latency: 10 * time.Millisecond, Running: 3, Queued: 2})
	}), 0.0)
}

// BenchmarkSetOut measures the cost of a new view: SetExcluded is called for each server.
func BenchmarkSetExcluded(b *testing.B) {
	for _, servers := range []int{10, 1000, 32_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			tb, _ := newTable(servers)
			b.ReportAllocs()
			for b.Loop() {
				for i := range servers {
					tb.SetExcluded(view.ServerID(i), false)
				}
			}
		})
	}
}
