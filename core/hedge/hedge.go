// Package hedge decides when a straggling sub-request deserves a second try: it
// keeps the latencies of the last few thousand and tells the delay at a quantile.
//
// # Usage
//
//	tr := hedge.New(hedge.Config{Quantile: 0.98, Floor: 2 * time.Millisecond, Ceiling: time.Second})
//	tr.Observe(latency)
//	delay := tr.Delay()
//
// A sub-request that is given up has to be told with GaveUp. Without these the
// slowest never show, the quantile falls, more are given up, and so on down to
// the floor.
//
// A Tracker may be used from many goroutines.
package hedge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the number of observations after which the histogram starts
	// empty, so that a change of load shows within a few thousand replies.
	window = 8192
	// leastSamples is the number of observations in a window below which the
	// quantiles of the last one stay: those of a handful say nothing.
	leastSamples = 512
	// refreshEvery is the number of observations after which the quantiles
	// are read anew.
	refreshEvery = 256
	// leastQuantile is the one that Least tells.
	leastQuantile = 5

	resolution    = int64(time.Microsecond)
	longest       = int64(20 * time.Second)
	digits        = 2
	percentPerOne = 100
)

// Config sets a tracker.
type Config struct {
	// Quantile of the latency after which to hedge, between 0 and 1.
	Quantile float64
	// Floor and Ceiling bound the delay. The delay is the ceiling until there
	// are enough observations.
	Floor   time.Duration
	Ceiling time.Duration
}

// Tracker holds the latencies of one kind of search.
type Tracker struct {
	cfg   Config
	delay atomic.Int64
	least atomic.Int64

	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	seen int
}

// New makes a tracker that knows nothing yet.
func New(cfg Config) *Tracker {
	tr := &Tracker{
		cfg:  cfg,
		hist: hdrhistogram.New(1, longest/resolution, digits),
	}
	tr.delay.Store(int64(cfg.Ceiling))
	return tr
}

// GaveUp adds a sub-request given up after it had taken so long. Its latency is
// not known but for being longer, which counts for the quantile if it is past the
// delay already, and says nothing if not.
func (tr *Tracker) GaveUp(after time.Duration) {
	if after >= tr.Delay() {
		tr.Observe(after)
	}
}

// Observe adds the latency of one reply.
func (tr *Tracker) Observe(latency time.Duration) {
	value := min(max(int64(latency), 0), longest) / resolution
	tr.mu.Lock()
	defer tr.mu.Unlock()
	// The value lies within the histogram's range: there is no error.
	_ = tr.hist.RecordValue(value)
	tr.seen++
	if tr.seen >= leastSamples && tr.seen%refreshEvery == 0 {
		tr.refresh()
	}
	if tr.seen == window {
		tr.hist.Reset()
		tr.seen = 0
	}
}

// Delay is the time after which a sub-request counts as straggling.
func (tr *Tracker) Delay() time.Duration {
	return time.Duration(tr.delay.Load())
}

// Least is the time within which hardly any reply comes; 0 while unknown.
func (tr *Tracker) Least() time.Duration {
	return time.Duration(tr.least.Load())
}

func (tr *Tracker) refresh() {
	delay := time.Duration(tr.hist.ValueAtQuantile(tr.cfg.Quantile*percentPerOne) * resolution)
	tr.delay.Store(int64(min(max(delay, tr.cfg.Floor), tr.cfg.Ceiling)))
	tr.least.Store(tr.hist.ValueAtQuantile(leastQuantile) * resolution)
}
