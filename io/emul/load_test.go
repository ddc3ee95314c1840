package emul

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// startFakeVM starts a server that answers searches by their field Search, once open is closed.
func startFakeVM(t *testing.T, answers map[string]wire.SearchAnswer, open <-chan struct{}) string {
	serve := func(_ context.Context, rc *app.RequestContext) {
		rq, ok := decode[wire.SearchRequest](rc)
		if !ok {
			return
		}
		<-open
		reply(rc, http.StatusOK, answers[rq.Search])
	}
	ho, err := startHost(anyLoopbackPort, func(*faultListener) {}, []route{{http.MethodPost, wire.RouteSearch, serve}})
	is.New(t).NoErr(err)
	t.Cleanup(ho.close)
	return ho.addr()
}

func roundRobin(searches ...string) RequestMaker {
	return func(_ *rand.Rand, n int) wire.SearchRequest {
		return wire.SearchRequest{Search: searches[n%len(searches)], Query: json.RawMessage(findAll)}
	}
}

func closedChan() <-chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

func TestLoadCounts(t *testing.T) {
	is := is.New(t)
	addr := startFakeVM(t, map[string]wire.SearchAnswer{
		"all":  {Outcome: wire.OutcomeComplete, Coverage: wire.Coverage{Share: 1}, Work: wire.Work{Primaries: 4, Hedges: 1}},
		"half": {Outcome: wire.OutcomePartial, Coverage: wire.Coverage{Share: 0.5}, Work: wire.Work{Primaries: 4}},
		"none": {Outcome: wire.OutcomeNotRun, Reason: "shed"},
	}, closedChan())
	lo, err := NewLoad(LoadConfig{
		Targets:  []string{addr},
		Rate:     5000,
		Count:    40,
		Duration: waitTimeout,
		Timeout:  waitTimeout,
		Request:  roundRobin("all", "half", "none", "what"),
	})
	is.NoErr(err)
	rep, err := lo.Run(context.Background())
	is.NoErr(err)
	is.Equal(rep.Arrivals, uint64(40))
	is.Equal(rep.Dropped, uint64(0))
	is.Equal(rep.Failed, uint64(10)) // a reply without an outcome counts as failed
	is.Equal(rep.Outcomes, map[wire.Outcome]uint64{
		wire.OutcomeComplete: 10,
		wire.OutcomePartial:  10,
		wire.OutcomeNotRun:   10,
	})
	is.Equal(rep.Reasons, map[string]uint64{"shed": 10})
	is.Equal(rep.Coverage, 0.75)
	is.Equal(rep.ExtraWorkShare(), 0.125)
	is.Equal(rep.Latency.TotalCount(), int64(30))
	is.True(rep.Quantile(50) <= rep.Quantile(99))
}

func TestLoadDropsAboveBound(t *testing.T) {
	// A VM stops answering. Arrivals continue at their scheduled times: two wait for the VM,
	// and the others are dropped and counted, so that the report shows that the load was
	// lower than configured.
	is := is.New(t)
	stuck := make(chan struct{})
	addr := startFakeVM(t, map[string]wire.SearchAnswer{"all": {Outcome: wire.OutcomeComplete}}, stuck)
	lo, err := NewLoad(LoadConfig{
		Targets:     []string{addr},
		Rate:        1e6,
		Count:       50,
		Duration:    waitTimeout,
		Timeout:     waitTimeout,
		MaxInFlight: 2,
		Request:     roundRobin("all"),
	})
	is.NoErr(err)
	lr, err := lo.begin()
	is.NoErr(err)
	lr.dispatch(context.Background())
	close(stuck)
	rep := lr.finish()
	is.Equal(rep.Dropped, uint64(48))
	is.Equal(rep.Outcomes[wire.OutcomeComplete], uint64(2))
}

func TestLoadStops(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	addr := startFakeVM(t, nil, closedChan())
	lo, err := NewLoad(LoadConfig{
		Targets:  []string{addr},
		Rate:     1e6,
		Count:    MaxLoadCount,
		Duration: MaxLoadTime,
		Request: func(_ *rand.Rand, n int) wire.SearchRequest {
			if n == 10 {
				cancel()
			}
			return wire.SearchRequest{}
		},
	})
	is.NoErr(err)
	rep, err := lo.Run(ctx)
	is.NoErr(err)
	is.Equal(rep.Arrivals, uint64(10))
}

func TestArrivals(t *testing.T) {
	// The seed determines a load: its times, targets and searches.
	is := is.New(t)
	cfg := LoadConfig{
		Targets:  []string{"127.0.0.1:1", "127.0.0.1:2"},
		Rate:     1000,
		Count:    20_000,
		Duration: 10 * time.Second,
		Request:  PlateLookups("wash", "kiosk", 100),
		Seed:     7,
	}
	drawn := func(lc LoadConfig) []arrival {
		var dues []arrival
		ars := lc.arrivals()
		for due, ok := ars.next(); ok; due, ok = ars.next() {
			dues = append(dues, due)
		}
		return dues
	}
	one := drawn(cfg)
	is.Equal(one, drawn(cfg))
	is.True(len(one) > 9_500 && len(one) < 10_500) // five standard deviations
	cfg.Count = 5
	is.Equal(one[:5], drawn(cfg))
	cfg.Seed = 8
	is.True(one[0].at != drawn(cfg)[0].at)
}

func TestLoadConfig(t *testing.T) {
	good := LoadConfig{
		Targets:  []string{"127.0.0.1:1", "[::1]:1"},
		Rate:     1,
		Count:    1,
		Duration: time.Second,
		Request:  roundRobin("all"),
	}
	cases := []struct {
		name   string
		change func(lc *LoadConfig)
		ok     bool
	}{
		{"good", func(*LoadConfig) {}, true},
		{"no targets", func(lc *LoadConfig) { lc.Targets = nil }, false},
		{"other machine", func(lc *LoadConfig) { lc.Targets = []string{"192.0.2.1:80"} }, false},
		{"host name", func(lc *LoadConfig) { lc.Targets = []string{"example.org:80"} }, false},
		{"no port", func(lc *LoadConfig) { lc.Targets = []string{"127.0.0.1"} }, false},
		{"no rate", func(lc *LoadConfig) { lc.Rate = 0 }, false},
		{"unbounded count", func(lc *LoadConfig) { lc.Count = MaxLoadCount + 1 }, false},
		{"unbounded time", func(lc *LoadConfig) { lc.Duration = 0 }, false},
		{"negative timeout", func(lc *LoadConfig) { lc.Timeout = -1 }, false},
		{"no request maker", func(lc *LoadConfig) { lc.Request = nil }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			lc := good
			tc.change(&lc)
			_, err := NewLoad(lc)
			is.New(t).Equal(err == nil, tc.ok)
		})
	}
}
