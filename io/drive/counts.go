package drive

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"laburnumvane/core/search"
	"laburnumvane/io/meter"
)

// latencySample is one in how many sub-requests the latency histogram is given.
const latencySample = 8

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

// latency keeps one sub-request in latencySample: the histogram's lock and heap
// cost a tenth of a search over many shards. Which one varies from search to
// search, so that no shard is left out.
func (co *counts) latency(id search.SubID, took time.Duration) {
	if (id.Search+uint64(id.Attempt))%latencySample == 0 {
		co.took.Update(took.Microseconds())
	}
}
