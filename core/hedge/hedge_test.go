package hedge_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/hedge"
)

const (
	floor   = 2 * time.Millisecond
	ceiling = time.Second
)

func newTracker() *hedge.Tracker {
	return hedge.New(hedge.Config{Quantile: 0.98, Floor: floor, Ceiling: ceiling})
}

// The delay is within one per cent of an observation at most one rank away from the true
// quantile.
func TestDelayMatchesQuantile(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4096
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		mean := float64(rapid.IntRange(5, 60).Draw(rt, "meanMs")) * float64(time.Millisecond)
		tr := newTracker()
		observed := make([]time.Duration, n)
		for i := range observed {
			observed[i] = time.Duration(rnd.ExpFloat64() * mean)
			tr.Observe(observed[i])
		}
		slices.Sort(observed)
		below, above := min(observed[n*98/100-2], ceiling), min(observed[n*98/100+1], ceiling)
		got := tr.Delay()
		if got < below*99/100 || got > above*101/100 {
			rt.Fatalf("delay %v, true quantile between %v and %v", got, below, above)
		}
	})
}

func TestDelayBounds(t *testing.T) {
	tests := []struct {
		name    string
		latency time.Duration
		count   int
		want    time.Duration
	}{
		{"no observations", 0, 0, ceiling},
		{"too few observations", time.Millisecond, 10, ceiling},
		{"not below the floor", time.Microsecond, 1000, floor},
		{"not above the ceiling", time.Hour, 1000, ceiling},
		{"negative latency counts as 0", -time.Second, 1000, floor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTracker()
			for range tt.count {
				tr.Observe(tt.latency)
			}
			is.Equal(tr.Delay(), tt.want)
		})
	}
}

// The upstreams become ten times slower, then as fast as before. The delay must follow within
// some ten thousand replies both times.
func TestDelayFollowsLoad(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	tr := newTracker()
	phase := func(mean time.Duration, n int) {
		for range n {
			tr.Observe(time.Duration(rnd.ExpFloat64() * float64(mean)))
		}
	}
	phase(4*time.Millisecond, 100_000)
	is.True(tr.Delay() < 20*time.Millisecond)
	phase(40*time.Millisecond, 10_000)
	is.True(tr.Delay() > 100*time.Millisecond)
	phase(4*time.Millisecond, 60_000)
	is.True(tr.Delay() < 20*time.Millisecond)
}

// One reply in twenty is slow; it is hedged after the delay and then cancelled, so its latency is
// never observed. The delay must not fall so far that ordinary replies are hedged.
func TestDelayWithCancelledSubRequests(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	tr := newTracker()
	for range 200_000 {
		latency := time.Duration((5 + 5*rnd.Float64()) * float64(time.Millisecond))
		if rnd.IntN(20) == 0 {
			latency *= 20
		}
		if hedged := tr.Delay() + 2*time.Millisecond; latency > hedged {
			tr.ObserveCancelled(hedged)
			continue
		}
		tr.Observe(latency)
	}
	is.True(tr.Delay() > 10*time.Millisecond)
	tr.ObserveCancelled(time.Microsecond) // shorter than the delay, so it must be ignored
}

func latencies() []time.Duration {
	rnd := rand.New(rand.NewPCG(1, 2))
	out := make([]time.Duration, 4096)
	for i := range out {
		out[i] = time.Duration(rnd.ExpFloat64() * float64(4*time.Millisecond))
	}
	return out
}

// BenchmarkObserve measures one observation, including its share of recomputing the quantiles.
func BenchmarkObserve(b *testing.B) {
	observed := latencies()
	tr := newTracker()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			tr.Observe(observed[i%len(observed)])
		}
	})
}
