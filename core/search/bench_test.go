package search_test

import (
	"strconv"
	"testing"
	"time"

	"laburnumvane/core/budget"
	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

// firstUntried picks the first replica that is not in tried.
type firstUntried struct{}

func (firstUntried) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	for _, id := range replicas {
		if !contains(tried, id) {
			return id, true
		}
	}
	return 0, false
}

func contains(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// snapshotOf returns a snapshot of n shards with three servers each.
func snapshotOf(version uint64, n int) view.Snapshot {
	replicas := make([][]view.ServerID, n)
	for i := range replicas {
		for k := range 3 {
			replicas[i] = append(replicas[i], view.ServerID(3*i+k))
		}
	}
	return view.Snapshot{Version: version, Replicas: replicas}
}

// BenchmarkMachine measures the cost of one search by its number of shards. The
// last tenth of the shards is hedged and answers late.
func BenchmarkMachine(b *testing.B) {
	for _, n := range []int{10, 30, 90, 270} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			benchMachine(b, n)
		})
	}
}

func benchMachine(b *testing.B, n int) {
	sn := snapshotOf(7, n)
	hedges := budget.New(budget.Config{Share: 1, Burst: 1000})
	retries := budget.New(budget.Config{Share: 1, Burst: 1000})
	subs := 0
	b.ReportAllocs()
	for num := uint64(0); b.Loop(); num++ {
		mc := search.New(search.Config{
			ID:            num,
			Snapshot:      sn,
			SoftDeadline:  time.Second,
			HardDeadline:  2 * time.Second,
			MinCoverage:   1,
			HitLimit:      100,
			Chooser:       firstUntried{},
			HedgeDelay:    10 * time.Millisecond,
			HedgeBudget:   hedges,
			RetryBudget:   retries,
			RetryPerShard: 2,
		})
		mc.Start(0)
		fast := n - n/10
		for i := range n {
			if i == fast {
				mc.Step(20*time.Millisecond, search.Event{Kind: search.EvWake})
			}
			mc.Step(time.Millisecond*time.Duration(1+20*(i/fast)), search.Event{
				Kind:     search.EvReply,
				Sub:      search.SubID{Search: num, Attempt: uint32(i)},
				Shard:    i,
				Snapshot: 7,
				Shards:   n,
			})
		}
		if !mc.Settled() {
			b.Fatal("not settled")
		}
		subs += n + n/10
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(subs), "ns/sub")
}
