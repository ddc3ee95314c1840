// Package hedge determines the delay after which a sub-request is late enough to be hedged: a
// quantile of the latencies of the last few thousand sub-requests.
//
// # Usage
//
//	tr := hedge.New(hedge.Config{Quantile: 0.98, Floor: 2 * time.Millisecond, Ceiling: time.Second})
//	tr.Observe(latency)
//	delay := tr.Delay()
//
// Report cancelled sub-requests with ObserveCancelled. Otherwise the slowest ones would be missing
// from the latencies, the quantile would fall, more sub-requests would be hedged and cancelled, and
// so on until the delay reaches the floor.
//
// A Tracker is safe for concurrent use.
package hedge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is the number of observations after which the histogram is reset, so that a
	// change of load shows within a few thousand replies.
	windowSize = 8192
	// minSamples is the number of observations in a window below which the quantiles of the
	// previous window are kept: those of a few observations are unreliable.
	minSamples = 512
	// refreshEvery is the number of observations after which the quantiles are recomputed.
	refreshEvery = 256
	// lowQuantile is the quantile, in per cent, that LowQuantile returns.
	lowQuantile = 5

	resolution        = int64(time.Microsecond)
	maxLatency        = int64(20 * time.Second)
	significantDigits = 2
	percentPerOne     = 100
)

// Config holds the parameters of a Tracker.
type Config struct {
	// Quantile of the latency after which a sub-request is hedged, between 0 and 1.
	Quantile float64
	// Floor and Ceiling bound the delay. The delay is Ceiling until there are enough
	// observations.
	Floor   time.Duration
	Ceiling time.Duration
}

// Tracker tracks the latencies of one kind of search.
type Tracker struct {
	cfg   Config
	delay atomic.Int64
	least atomic.Int64

	mu    sync.Mutex
	hist  *hdrhistogram.Histogram
	count int
}

// New returns a tracker without observations.
func New(cfg Config) *Tracker {
	tr := &Tracker{
		cfg:  cfg,
		hist: hdrhistogram.New(1, maxLatency/resolution, significantDigits),
	}
	tr.delay.Store(int64(cfg.Ceiling))
	return tr
}

// ObserveCancelled adds a sub-request that was cancelled after the given time. Its latency is only
// known to be longer. That counts for the quantile if the time exceeds the current delay; otherwise
// it is ignored.
func (tr *Tracker) ObserveCancelled(after time.Duration) {
	if after >= tr.Delay() {
		tr.Observe(after)
	}
}

// Observe adds the latency of a reply.
func (tr *Tracker) Observe(latency time.Duration) {
	value := min(max(int64(latency), 0), maxLatency) / resolution
	tr.mu.Lock()
	defer tr.mu.Unlock()
	// The value is within the histogram's range, so there is no error.
	_ = tr.hist.RecordValue(value)
	tr.count++
	if tr.count >= minSamples && tr.count%refreshEvery == 0 {
		tr.refresh()
	}
	if tr.count == windowSize {
		tr.hist.Reset()
		tr.count = 0
	}
}

// Delay returns the time after which a sub-request is late.
func (tr *Tracker) Delay() time.Duration {
	return time.Duration(tr.delay.Load())
}

// LowQuantile returns the 5 % quantile of the latency: few replies arrive earlier. It is 0 while
// there are too few observations.
func (tr *Tracker) LowQuantile() time.Duration {
	return time.Duration(tr.least.Load())
}

func (tr *Tracker) refresh() {
	delay := time.Duration(tr.hist.ValueAtQuantile(tr.cfg.Quantile*percentPerOne) * resolution)
	tr.delay.Store(int64(min(max(delay, tr.cfg.Floor), tr.cfg.Ceiling)))
	tr.least.Store(tr.hist.ValueAtQuantile(lowQuantile) * resolution)
}
