package drive

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"laburnumvane/core/search"
	"laburnumvane/io/meter"
)

// latencySampleInterval: one of this many sub-requests is recorded in the latency histogram.
const latencySampleInterval = 8

// counts holds the metrics that each sub-request updates. They are looked up once, since a lookup
// by name takes the registry's lock and allocates a string.
type counts struct {
	primary    metrics.Counter
	hedge      metrics.Counter
	retry      metrics.Counter
	subLatency metrics.Histogram
}

func newCounts(mt *meter.Meter) counts {
	return counts{
		primary:    mt.Counter(meter.Sent, "primary"),
		hedge:      mt.Counter(meter.Sent, "hedge"),
		retry:      mt.Counter(meter.Sent, "retry"),
		subLatency: mt.Histogram(meter.SubLatency),
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

// observeLatency records one of latencySampleInterval sub-requests: the histogram's lock and heap
// would otherwise cost a tenth of a search over many shards. The recorded shards vary from search
// to search, so that no shard is left out.
func (co *counts) observeLatency(id search.SubID, latency time.Duration) {
	if (id.Search+uint64(id.Attempt))%latencySampleInterval == 0 {
		co.subLatency.Update(latency.Microseconds())
	}
}
