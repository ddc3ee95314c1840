// Package hedge decides when a straggling sub-request deserves a second try: it
// keeps a decaying picture of latency and tells the delay at a quantile.
//
// # Usage
//
//	tr := hedge.New(hedge.Config{Quantile: 0.99, Floor: 2 * time.Millisecond})
//	tr.Observe(latency)
//	delay := tr.Delay()
//
// A Tracker may be used from many goroutines.
package hedge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerDoubling gives a resolution of about 9% of the latency.
	bucketsPerDoubling = 8
	// leastLatency is the upper edge of the first bucket.
	leastLatency = 50 * time.Microsecond
	doublings    = 22
	bucketCount  = bucketsPerDoubling * doublings
	// decayEvery is the number of observations after which all counts halve,
	// so that a change of load shows within a few thousand replies.
	decayEvery = 8192
	// leastSamples is the number of observations below which Delay keeps to
	// its ceiling: a quantile of a handful says nothing.
	leastSamples = 64
)

// Config sets a tracker.
type Config struct {
	// Quantile of the latency after which to hedge, between 0 and 1.
	Quantile float64
	// Floor and Ceiling bound the delay.
	Floor   time.Duration
	Ceiling time.Duration
}

// Tracker holds the counts of one kind of search.
type Tracker struct {
	cfg     Config
	buckets [bucketCount]atomic.Uint32
	seen    atomic.Uint32
	delay   atomic.Int64
}

// New makes a tracker that knows nothing yet.
func New(cfg Config) *Tracker {
	tr := &Tracker{cfg: cfg}
	tr.delay.Store(int64(cfg.Ceiling))
	return tr
}

// Observe adds the latency of one reply.
func (tr *Tracker) Observe(latency time.Duration) {
	tr.buckets[bucketOf(latency)].Add(1)
	n := tr.seen.Add(1)
	if n%leastSamples != 0 {
		return
	}
	tr.refresh()
	if n%decayEvery == 0 {
		tr.decay()
	}
}

// Delay is the time after which a sub-request counts as straggling.
func (tr *Tracker) Delay() time.Duration {
	return time.Duration(tr.delay.Load())
}

func (tr *Tracker) refresh() {
	var counts [bucketCount]uint32
	total := uint32(0)
	for i := range tr.buckets {
		counts[i] = tr.buckets[i].Load()
		total += counts[i]
	}
	want := uint32(math.Ceil(tr.cfg.Quantile * float64(total)))
	sum := uint32(0)
	for i, n := range counts {
		sum += n
		if sum >= want {
			tr.delay.Store(int64(tr.clamp(edgeOf(i))))
			return
		}
	}
}

func (tr *Tracker) decay() {
	for i := range tr.buckets {
		n := tr.buckets[i].Load()
		tr.buckets[i].Add(-(n / 2))
	}
}

func (tr *Tracker) clamp(d time.Duration) time.Duration {
	return min(max(d, tr.cfg.Floor), tr.cfg.Ceiling)
}

func bucketOf(d time.Duration) int {
	if d <= leastLatency {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(leastLatency)) * bucketsPerDoubling)
	return min(i+1, bucketCount-1)
}

func edgeOf(i int) time.Duration {
	return time.Duration(float64(leastLatency) * math.Exp2(float64(i)/bucketsPerDoubling))
}
