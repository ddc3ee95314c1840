package site_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// The installation for the overload benchmark. Each search sends one sub-request to a server of each
// service.
const (
	overServices    = 4
	overReplicas    = 3
	overSlots       = 2
	overQueue       = 12
	overMeanService = 20 * time.Millisecond
	// overCapacity is the number of searches per second that the slots can run.
	overCapacity     = overReplicas * overSlots * float64(time.Second/overMeanService)
	overWarmUp       = time.Second
	overDuration     = 2 * time.Second
	overReadyTimeout = 15 * time.Second
)

// overClass is the share of one class in the load.
type overClass struct {
	name   string
	class  team.Class
	share  float64
	hardMs int64
}

var overClasses = []overClass{
	{"urgent", team.ClassUrgent, 0.1, 200},
	{"interactive", team.ClassInteractive, 0.5, 500},
	{"batch", team.ClassBatch, 0.4, 2000},
}

// BenchmarkOverload overloads an installation on loopback, with the VMs' limits and without. The time
// per operation has no meaning; the metrics are the goodput as a multiple of the slots' capacity, the
// p99 latency of complete answers by class, and the shares of refused and failed searches.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.5, 2, 5} {
		for _, unlimited := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%v/limits=%v", load, !unlimited), func(b *testing.B) {
				for b.Loop() {
					overload(b, load, unlimited)
				}
			})
		}
	}
}

func overload(b *testing.B, load float64, unlimited bool) {
	is := is.New(b)
	st := overSite(b, unlimited)
	defer st.Close()
	sendAll(b, st, load, overWarmUp)
	start := time.Now()
	reports := sendAll(b, st, load, overDuration)
	elapsed := time.Since(start).Seconds()
	arrived, refused, whole := uint64(0), uint64(0), uint64(0)
	extra, primaries := 0, 0
	for i, rp := range reports {
		arrived += rp.Arrivals
		refused += rp.Outcomes[wire.OutcomeNotRun]
		whole += rp.Outcomes[wire.OutcomeComplete]
		extra += rp.Work.Hedges + rp.Work.Retries
		primaries += rp.Work.Primaries
		p99 := float64(rp.CompleteLatency.ValueAtQuantile(99)) / 1000
		b.ReportMetric(p99, overClasses[i].name+"P99ms")
		b.ReportMetric(float64(rp.MaxLag.Microseconds())/1000, overClasses[i].name+"Lagms")
	}
	is.True(arrived > 0)
	b.ReportMetric(float64(whole)/elapsed/overCapacity, "goodput")
	b.ReportMetric(100*float64(refused)/float64(arrived), "refused%")
	b.ReportMetric(100*float64(arrived-refused-whole)/float64(arrived), "failed%")
	b.ReportMetric(100*float64(extra)/float64(primaries), "extra%")
}

func overSite(b *testing.B, unlimited bool) *site.Site {
	is := is.New(b)
	rg := emul.NewRegister("members")
	for i := range 40 {
		is.NoErr(rg.Put(json.RawMessage(fmt.Sprintf(`{"member":"m%d","plate":"A%d"}`, i, i))))
	}
	searches := make(map[string]team.Search)
	for _, oc := range overClasses {
		searches[oc.name] = team.Search{
			Class: oc.class, HardDeadlineMs: oc.hardMs, MinCoverage: 1, HitLimit: 10,
			Retry: team.Retry{Budget: 0.1, PerShard: 1},
		}
	}
	st, err := site.Start(site.Config{
		Team: "wash", Region: "isle", VMs: 3, DataCentres: []string{"east", "west"},
		Register: rg, Services: overServices, Slots: overSlots, Queue: overQueue, Connections: 180,
		ServiceTime: overServiceTime, Searches: searches, Unlimited: unlimited,
		Log: &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}},
	})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), overReadyTimeout)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	for !connected(st) {
		is.NoErr(ctx.Err()) // the connection plans did not reach the needed size
		time.Sleep(10 * time.Millisecond)
	}
	return st
}

// overServiceTime is half fixed and half exponentially distributed.
func overServiceTime(rd *rand.Rand) time.Duration {
	half := float64(overMeanService) / 2
	return time.Duration(half + half*rd.ExpFloat64())
}

// connected reports whether each VM may open enough connections to each server for connections not
// to limit the load.
func connected(st *site.Site) bool {
	for _, nd := range st.Nodes() {
		for _, up := range nd.Status().Upstreams {
			if up.ConnectionPlan < overSlots+overQueue {
				return false
			}
		}
	}
	return true
}

// sendAll sends the shares of all classes concurrently for d and returns a report for each class.
func sendAll(b *testing.B, st *site.Site, load float64, d time.Duration) []emul.LoadReport {
	var targets []string
	for _, nd := range st.Nodes() {
		targets = append(targets, nd.Addrs().Caller)
	}
	reports := make([]emul.LoadReport, len(overClasses))
	var wg sync.WaitGroup
	for i, oc := range overClasses {
		lo, err := emul.NewLoad(emul.LoadConfig{
			Targets: targets, Rate: load * oc.share * overCapacity, Count: 100_000, Duration: d,
			Seed: uint64(i + 1), Timeout: 5 * time.Second, MaxInFlight: 2048,
			Request: func(rd *rand.Rand, _ int) wire.SearchRequest {
				query := json.RawMessage(fmt.Sprintf(`{"plate":"A%d"}`, rd.IntN(40)))
				return wire.SearchRequest{Team: "wash", Search: oc.name, Query: query}
			},
		})
		is.New(b).NoErr(err)
		wg.Go(func() {
			report, err := lo.Run(context.Background())
			if err != nil {
				b.Error(err)
			}
			reports[i] = report
		})
	}
	wg.Wait()
	return reports
}
