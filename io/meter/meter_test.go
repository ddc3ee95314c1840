package meter_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/meter"
)

// A counter must exist before it is first incremented, or an alarm on it would watch nothing.
func TestListedStartAtZero(t *testing.T) {
	is := is.New(t)
	got := meter.New().Snapshot()
	for family, reasons := range meter.Reasons() {
		for _, reason := range append(reasons, meter.Other) {
			value, ok := got[family+"."+reason]
			is.True(ok)
			is.Equal(value, 0.0)
		}
	}
	for _, name := range meter.Gauges() {
		_, ok := got[name]
		is.True(ok)
	}
	for _, name := range meter.Histograms() {
		is.Equal(got[name+".count"], 0.0)
	}
}

// A server refuses each sub-request with a new reason, some of them very long. The VM's memory
// must not grow with the reasons, no refusal may remain uncounted, and the listed reasons must
// still be counted.
func TestUnlistedReasonsAreBounded(t *testing.T) {
	is := is.New(t)
	mt := meter.New()
	before := len(mt.Snapshot())
	const each, goroutines = 1000, 4
	var wg sync.WaitGroup
	for g := range goroutines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				mt.Count(meter.Upstream, fmt.Sprintf("made-up-%d-%d", g, i))
				mt.Count(meter.Upstream, strings.Repeat("x", 49+i))
				mt.Count("no such family", fmt.Sprint(g, i))
				mt.Count(meter.Upstream, "shed")
			}
		}()
	}
	wg.Wait()
	got := mt.Snapshot()
	is.True(len(got) <= before+65)
	is.Equal(mt.Value(meter.Upstream, "shed"), int64(each*goroutines))
	sum := 0.0
	for name, value := range got {
		if name != "upstream.shed" {
			sum += value
		}
	}
	is.Equal(sum, float64(3*each*goroutines))
}

func TestSnapshotUnits(t *testing.T) {
	is := is.New(t)
	mt := meter.New()
	mt.Add(meter.Refusal, "shed", 2)
	mt.Set(meter.Connections, 7)
	mt.Observe(meter.SearchLatency, 1500*time.Microsecond)
	got := mt.Snapshot()
	is.Equal(got["refusal.shed"], 2.0)
	is.Equal(got["connections"], 7.0)
	is.Equal(got["latency.searchMs.p99"], 1.5) // milliseconds
	is.Equal(got["latency.searchMs.count"], 1.0)
}
