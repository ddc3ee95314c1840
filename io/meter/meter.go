// Package meter counts what a VM does, in its own go-metrics registry.
//
// # Usage
//
//	mt := meter.New()
//	mt.Count(meter.Refusal, "shed")
//	mt.Observe(meter.SearchLatency, elapsed)
//	snapshot := mt.Snapshot()
//
// The name of a counter consists of a family and a reason, with a dot between them.
// docs/METRICS.md lists all names. Up to a limit, an unlisted reason gets its own counter;
// beyond that it is counted as "other".
package meter

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015
	microsPerMs = 1000.0
)

// Meter is the metrics registry of one VM. It is safe for concurrent use.
type Meter struct {
	reg        metrics.Registry
	counters   *counters
	histograms map[string]metrics.Histogram
	gauges     map[string]metrics.Gauge
}

// New returns a meter in which all listed metrics are 0, so that an alarm can be set on a
// counter before it is first incremented.
func New() *Meter {
	mt := &Meter{
		reg:        metrics.NewRegistry(),
		histograms: make(map[string]metrics.Histogram),
		gauges:     make(map[string]metrics.Gauge),
	}
	mt.counters = newCounters(mt.reg)
	for _, name := range Histograms() {
		mt.histograms[name] = mt.reg.GetOrRegister(name, newHistogram).(metrics.Histogram)
	}
	for _, name := range Gauges() {
		mt.gauges[name] = metrics.GetOrRegisterGauge(name, mt.reg)
	}
	return mt
}

// Count increments a family's counter for a reason.
func (mt *Meter) Count(family, reason string) {
	mt.counters.counter(family, reason).Inc(1)
}

// Add adds n to a family's counter for a reason.
func (mt *Meter) Add(family, reason string, n int64) {
	mt.counters.counter(family, reason).Inc(n)
}

// Value returns a family's counter for a reason.
func (mt *Meter) Value(family, reason string) int64 {
	return mt.counters.counter(family, reason).Count()
}

// Observe adds a duration to a histogram, which stores microseconds.
func (mt *Meter) Observe(name string, d time.Duration) {
	mt.Histogram(name).Update(d.Microseconds())
}

// Counter returns a family's counter for a reason, for callers that count often.
func (mt *Meter) Counter(family, reason string) metrics.Counter {
	return mt.counters.counter(family, reason)
}

// Histogram returns the histogram with a name, which stores microseconds.
func (mt *Meter) Histogram(name string) metrics.Histogram {
	if hi, ok := mt.histograms[name]; ok {
		return hi
	}
	return mt.reg.GetOrRegister(name, newHistogram).(metrics.Histogram)
}

// Set sets a gauge.
func (mt *Meter) Set(name string, value int64) {
	if ga, ok := mt.gauges[name]; ok {
		ga.Update(value)
		return
	}
	metrics.GetOrRegisterGauge(name, mt.reg).Update(value)
}

// Snapshot returns all values by name. A histogram has a count, and its mean and quantiles in
// milliseconds.
func (mt *Meter) Snapshot() map[string]float64 {
	out := make(map[string]float64)
	mt.reg.Each(func(name string, value any) {
		switch m := value.(type) {
		case metrics.Counter:
			out[name] = float64(m.Count())
		case metrics.Gauge:
			out[name] = float64(m.Value())
		case metrics.Histogram:
			addHistogram(out, name, m.Snapshot())
		}
	})
	return out
}

func addHistogram(out map[string]float64, name string, hi metrics.Histogram) {
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

// Text returns all values sorted by name, one per line.
func (mt *Meter) Text() string {
	values := mt.Snapshot()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, "%s %g\n", name, values[name])
	}
	return out.String()
}
