package drive

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"laburnumvane/core/search"
	"laburnumvane/io/meter"
)

// counts are the meters touched by each sub-request, looked up once: to find
// them by name takes the registry's lock and makes a string each time.
type counts struct {
	primary metrics.Counter
	hedge   metrics.Counter
	retry   metrics.Counter
	took    metrics.Histogram
}

func newCounts(mt *meter.Meter) counts {
	return counts{
		primary: mt.Counter(meter.Sent, "primary"),
		hedge:   mt.Counter(meter.Sent, "hedge"),
		retry:   mt.Counter(meter.Sent, "retry"),
		took:    mt.Histogram(meter.SubLatency),
	}
}

func (co *counts) sent(at search.Attempt) {
	switch at {
	case search.AttemptHedge:
		co.hedge.Inc(1)
	case search.AttemptRetry:
		co.retry.Inc(1)
	default:
		co.primary.Inc(1)
	}
}

func (co *counts) latency(took time.Duration) {
	co.took.Update(took.Microseconds())
}
