package emul

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/go-faster/errors"
	"github.com/panjf2000/ants/v2"

	"laburnumvane/io/wire"
)

// Defaults and bounds of a LoadConfig.
const (
	DefaultLoadTimeout = 2 * time.Second
	DefaultMaxInFlight = 512
	// MaxLoadCount and MaxLoadTime limit every load, so that a mistyped flag cannot start
	// one that does not end.
	MaxLoadCount = 10_000_000
	MaxLoadTime  = time.Hour

	loadSeedStream = 0x6c6f6164 // separates the load's random stream from other uses of a seed
)

// RequestMaker returns the nth search of a load, counted from 0. It is called by one goroutine
// at a time.
type RequestMaker func(rd *rand.Rand, n int) wire.SearchRequest

// LoadConfig configures a Load. All fields but Timeout, MaxInFlight and Seed are required.
type LoadConfig struct {
	// Targets are the VMs' client addresses. Each arrival goes to a random one, as behind a
	// load balancer. Only loopback addresses are accepted.
	Targets []string
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Count and Duration end the load: after Count arrivals or after the time Duration,
	// whichever comes first.
	Count    int
	Duration time.Duration
	// Request makes the searches.
	Request RequestMaker
	// Timeout is how long to wait for an answer; 0 means DefaultLoadTimeout.
	Timeout time.Duration
	// MaxInFlight limits the searches in progress; 0 means DefaultMaxInFlight. Arrivals
	// above the limit are dropped and counted, because waiting would delay later arrivals.
	MaxInFlight int
	// Seed determines the arrivals, the targets and the random numbers given to Request.
	Seed uint64
}

// Load generates an open-loop load: searches are sent at seeded Poisson arrival times that do
// not depend on the answers.
type Load struct {
	cfg LoadConfig
	cli *client.Client
}

// NewLoad checks the configuration and returns a Load that has not started.
func NewLoad(cfg LoadConfig) (*Load, error) {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultLoadTimeout
	}
	cfg.MaxInFlight = orDefault(cfg.MaxInFlight, DefaultMaxInFlight)
	if err := cfg.check(); err != nil {
		return nil, newError("NewLoad", KindConfig, err)
	}
	cli, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(cfg.MaxInFlight),
	)
	if err != nil {
		return nil, newError("NewLoad", KindConfig, err)
	}
	return &Load{cfg: cfg, cli: cli}, nil
}

func (lc LoadConfig) check() error {
	switch {
	case len(lc.Targets) == 0:
		return errors.New("no targets")
	case !(lc.Rate > 0):
		return errors.Errorf("rate %v is not positive", lc.Rate)
	case lc.Count < 1 || lc.Count > MaxLoadCount:
		return errors.Errorf("count %d is not within 1 and %d", lc.Count, MaxLoadCount)
	case lc.Duration <= 0 || lc.Duration > MaxLoadTime:
		return errors.Errorf("time %v is not within 0 and %v", lc.Duration, MaxLoadTime)
	case lc.Timeout < 0 || lc.MaxInFlight < 0:
		return errors.New("negative timeout or bound")
	case lc.Request == nil:
		return errors.New("no request maker")
	}
	for _, ta := range lc.Targets {
		if err := checkLoopback(ta); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback returns an error unless the address is on loopback, so that a mistyped address
// cannot flood another machine.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return errors.Errorf("target %s is not a loopback address", addr)
	}
	return nil
}

// arrival is one scheduled search.
type arrival struct {
	at     time.Duration // after the start
	target string
	req    wire.SearchRequest
}

// arrivals generates the arrivals of a load. The same configuration gives the same arrivals.
type arrivals struct {
	cfg LoadConfig
	rnd *rand.Rand
	at  time.Duration
	num int
}

func (lc LoadConfig) arrivals() *arrivals {
	return &arrivals{cfg: lc, rnd: rand.New(rand.NewPCG(lc.Seed, loadSeedStream))}
}

func (ar *arrivals) next() (arrival, bool) {
	if ar.num >= ar.cfg.Count {
		return arrival{}, false
	}
	gap := ar.rnd.ExpFloat64() / ar.cfg.Rate
	ar.at += time.Duration(gap * float64(time.Second))
	if ar.at > ar.cfg.Duration {
		return arrival{}, false
	}
	due := arrival{
		at:     ar.at,
		target: ar.cfg.Targets[ar.rnd.IntN(len(ar.cfg.Targets))],
		req:    ar.cfg.Request(ar.rnd, ar.num),
	}
	ar.num++
	return due, true
}

// Run sends the load and waits for the last answer. The end of ctx stops new arrivals only.
// Only one Run of a Load may be in progress at a time.
func (lo *Load) Run(ctx context.Context) (LoadReport, error) {
	lr, err := lo.begin()
	if err != nil {
		return LoadReport{}, newError("Load.Run", KindConfig, err)
	}
	lr.dispatch(ctx)
	return lr.finish(), nil
}

// loadRun is one run of a Load.
type loadRun struct {
	load    *Load
	pool    *ants.Pool
	start   time.Time
	tally   *tally
	pending sync.WaitGroup
}

func (lo *Load) begin() (*loadRun, error) {
	pool, err := ants.NewPool(lo.cfg.MaxInFlight, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, err
	}
	return &loadRun{load: lo, pool: pool, start: time.Now(), tally: newTally()}, nil
}

// dispatch sends or drops each arrival when it is due.
func (lr *loadRun) dispatch(ctx context.Context) {
	ars := lr.load.cfg.arrivals()
	for due, ok := ars.next(); ok; due, ok = ars.next() {
		scheduled := lr.start.Add(due.at)
		if !sleepUntil(ctx, scheduled) {
			return
		}
		lr.tally.addArrival(time.Since(scheduled))
		lr.pending.Add(1)
		err := lr.pool.Submit(func() {
			defer lr.pending.Done()
			lr.load.send(due, scheduled, lr.tally)
		})
		if err != nil {
			lr.pending.Done()
			lr.tally.addDropped()
		}
	}
}

// finish waits for the searches in progress and returns the report.
func (lr *loadRun) finish() LoadReport {
	lr.pending.Wait()
	elapsed := time.Since(lr.start)
	lr.pool.Release()
	lr.load.cli.CloseIdleConnections()
	return lr.tally.report(elapsed)
}

// sleepUntil sleeps until a time, and reports false if ctx ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	tm := time.NewTimer(time.Until(at))
	defer tm.Stop()
	select {
	case <-tm.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// send makes one search and records the result. Latency is measured from the scheduled arrival,
// so that a load generator that falls behind makes the figures worse and not better.
func (lo *Load) send(due arrival, scheduled time.Time, tl *tally) {
	ans, err := lo.exchange(due)
	if err != nil {
		tl.addFailed(err)
		return
	}
	tl.addAnswer(ans, time.Since(scheduled))
}

func (lo *Load) exchange(due arrival) (wire.SearchAnswer, error) {
	var ans wire.SearchAnswer
	body, err := json.Marshal(due.req)
	if err != nil {
		return ans, err
	}
	rq, rp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(rq)
	defer protocol.ReleaseResponse(rp)
	rq.SetMethod(http.MethodPost)
	rq.SetRequestURI("http://" + due.target + wire.RouteSearch)
	rq.Header.SetContentTypeBytes([]byte(contentJSON))
	rq.SetBody(body)
	rq.SetOptions(config.WithRequestTimeout(lo.cfg.Timeout))
	// The library retries idempotent methods only, so this POST is sent once.
	if err := lo.cli.Do(context.Background(), rq, rp); err != nil {
		return ans, err
	}
	if err := json.Unmarshal(rp.Body(), &ans); err != nil {
		return ans, errors.Wrapf(err, "status %d", rp.StatusCode())
	}
	if ans.Outcome == "" {
		return ans, errors.Errorf("status %d without an outcome", rp.StatusCode())
	}
	return ans, nil
}
