// Package meter counts what a VM does, in a go-metrics registry of its own.
//
// # Usage
//
//	mt := meter.New()
//	mt.Count(meter.Refusal, "shed")
//	mt.Observe(meter.SearchLatency, elapsed)
//	snapshot := mt.Snapshot()
//
// Names are a family and, for counters by reason, the reason behind a dot.
package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Families of counters; each is counted by reason.
const (
	// Refusal counts searches refused by this VM, by reason.
	Refusal = "refusal"
	// Outcome counts searches by outcome.
	Outcome = "outcome"
	// Retry counts sub-requests sent again, by reason of the failure before.
	Retry = "retry"
	// Upstream counts refusals and failures of sub-requests, by reason.
	Upstream = "upstream"
	// Dropped counts replies that matched nothing, by reason.
	Dropped = "dropped"
	// Sent counts sub-requests by kind of attempt.
	Sent = "sent"
	// Platform counts calls to the platform, by operation.
	Platform = "platform"
	// Connection counts what happened to connections to upstreams, by event.
	Connection = "connection"
	// Change counts operators' changes by result.
	Change = "change"
)

// Histograms, in milliseconds.
const (
	SearchLatency = "latency.searchMs"
	SubLatency    = "latency.subRequestMs"
)

// Gauges.
const (
	InFlight    = "inFlight.searches"
	Connections = "connections"
	Workers     = "workers.running"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015
	microsPerMs = 1000.0
)

// Meter is the registry of one VM; it may be used from many goroutines.
type Meter struct {
	reg metrics.Registry
}

// New makes an empty meter.
func New() *Meter {
	return &Meter{reg: metrics.NewRegistry()}
}

// Count adds one to a family's counter for a reason.
func (mt *Meter) Count(family, reason string) {
	mt.Add(family, reason, 1)
}

// Add adds n to a family's counter for a reason.
func (mt *Meter) Add(family, reason string, n int64) {
	metrics.GetOrRegisterCounter(family+"."+reason, mt.reg).Inc(n)
}

// Value reads a family's counter for a reason.
func (mt *Meter) Value(family, reason string) int64 {
	return metrics.GetOrRegisterCounter(family+"."+reason, mt.reg).Count()
}

// Observe adds a duration to a histogram; it is kept in microseconds.
func (mt *Meter) Observe(name string, d time.Duration) {
	hi := mt.reg.GetOrRegister(name, newHistogram)
	hi.(metrics.Histogram).Update(d.Microseconds())
}

// Counter is a family's counter for a reason, for callers that count often.
func (mt *Meter) Counter(family, reason string) metrics.Counter {
	return metrics.GetOrRegisterCounter(family+"."+reason, mt.reg)
}

// Histogram is a histogram by name, in microseconds.
func (mt *Meter) Histogram(name string) metrics.Histogram {
	return mt.reg.GetOrRegister(name, newHistogram).(metrics.Histogram)
}

// Set sets a gauge.
func (mt *Meter) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, mt.reg).Update(value)
}

// Snapshot lists all values by name; histograms give count, mean and quantiles
// in milliseconds.
func (mt *Meter) Snapshot() map[string]float64 {
	out := make(map[string]float64)
	mt.reg.Each(func(name string, value any) {
		switch m := value.(type) {
		case metrics.Counter:
			out[name] = float64(m.Count())
		case metrics.Gauge:
			out[name] = float64(m.Value())
		case metrics.Histogram:
			spread(out, name, m.Snapshot())
		}
	})
	return out
}

func spread(out map[string]float64, name string, hi metrics.Histogram) {
	qs := hi.Percentiles([]float64{0.5, 0.99, 0.999})
	out[name+".count"] = float64(hi.Count())
	out[name+".mean"] = hi.Mean() / microsPerMs
	out[name+".p50"] = qs[0] / microsPerMs
	out[name+".p99"] = qs[1] / microsPerMs
	out[name+".p999"] = qs[2] / microsPerMs
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}
