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

// The small installation under overload: each search asks one server of each
// service.
const (
	overServices = 4
	overReplicas = 3
	overSlots    = 2
	overQueue    = 12
	overMean     = 20 * time.Millisecond
	// overCapacity is the searches a second that the slots can do.
	overCapacity = overReplicas * overSlots * float64(time.Second/overMean)
	overSettle   = time.Second
	overFor      = 2 * time.Second
	overPatience = 15 * time.Second
)

// overClass is one class's part of the load.
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

// BenchmarkOverload puts a real installation on loopback under too much load, with
// the VMs' limits and without. The time per operation says nothing; the metrics
// do: goodput in multiples of what the slots can do, p99 of whole answers by
// class, and the shares refused and failed.
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
	sendAll(b, st, load, overSettle)
	begun := time.Now()
	reports := sendAll(b, st, load, overFor)
	elapsed := time.Since(begun).Seconds()
	arrived, refused, whole := uint64(0), uint64(0), uint64(0)
	extra, primaries := 0, 0
	for i, rp := range reports {
		arrived += rp.Arrivals
		refused += rp.Outcomes[wire.OutcomeNotRun]
		whole += rp.Outcomes[wire.OutcomeComplete]
		extra += rp.Work.Hedges + rp.Work.Retries
		primaries += rp.Work.Primaries
		p99 := float64(rp.Whole.ValueAtQuantile(99)) / 1000
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
		ServiceTime: overTime, Searches: searches, Unlimited: unlimited,
		Log: &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}},
	})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), overPatience)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	for !connected(st) {
		is.NoErr(ctx.Err()) // connections never came up to plan
		time.Sleep(10 * time.Millisecond)
	}
	return st
}

// overTime is half fixed and half by chance.
func overTime(rd *rand.Rand) time.Duration {
	half := float64(overMean) / 2
	return time.Duration(half + half*rd.ExpFloat64())
}

// connected tells whether each VM may open enough connections to each server, so
// that they bound nothing.
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

// sendAll sends each class's part of a load, all at once.
func sendAll(b *testing.B, st *site.Site, load float64, d time.Duration) []emul.LoadReport {
	var targets []string
	for _, nd := range st.Nodes() {
		targets = append(targets, nd.Addrs().Caller)
	}
	reports := make([]emul.LoadReport, len(overClasses))
	var wg sync.WaitGroup
	for i, oc := range overClasses {
		lo, err := emul.NewLoad(emul.LoadConfig{
			Targets: targets, Rate: load * oc.share * overCapacity, Count: 100_000, For: d,
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
