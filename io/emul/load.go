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
	// MaxLoadCount and MaxLoadTime bound any load, so that a mistaken flag
	// cannot make one that does not end.
	MaxLoadCount = 10_000_000
	MaxLoadTime  = time.Hour

	loadStream = 0x6c6f6164 // keeps the load apart from other uses of a seed
)

// RequestMaker makes the nth search of a load, counted from 0. It is called by
// one goroutine at a time.
type RequestMaker func(rd *rand.Rand, n int) wire.SearchRequest

// LoadConfig configures a Load. All but Timeout, MaxInFlight and Seed are
// needed.
type LoadConfig struct {
	// Targets are the VMs' addresses for callers. Each arrival goes to one by
	// chance, as behind a balancer. Only loopback addresses are taken.
	Targets []string
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Count and For end the load: at so many arrivals or after so long.
	Count int
	For   time.Duration
	// Request makes the searches.
	Request RequestMaker
	// Timeout is how long an answer is waited for.
	Timeout time.Duration
	// MaxInFlight bounds the searches under way; arrivals above it are dropped
	// and counted, for waiting would slow the arrivals down.
	MaxInFlight int
	// Seed decides arrivals, targets and what Request draws.
	Seed uint64
}

// Load sends searches at times that do not depend on the answers (an open
// loop), with seeded Poisson arrivals.
type Load struct {
	cfg LoadConfig
	cli *client.Client
}

// NewLoad checks the configuration.
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
	case lc.For <= 0 || lc.For > MaxLoadTime:
		return errors.Errorf("time %v is not within 0 and %v", lc.For, MaxLoadTime)
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

// checkLoopback keeps a load off machines that are not its own: whoever
// mistypes an address gets an error and floods nobody.
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

// arrival is one search that is due.
type arrival struct {
	at     time.Duration // after the start
	target string
	req    wire.SearchRequest
}

// arrivals draws the load; the same configuration draws the same.
type arrivals struct {
	cfg LoadConfig
	rnd *rand.Rand
	at  time.Duration
	num int
}

func (lc LoadConfig) arrivals() *arrivals {
	return &arrivals{cfg: lc, rnd: rand.New(rand.NewPCG(lc.Seed, loadStream))}
}

func (ar *arrivals) next() (arrival, bool) {
	if ar.num >= ar.cfg.Count {
		return arrival{}, false
	}
	gap := ar.rnd.ExpFloat64() / ar.cfg.Rate
	ar.at += time.Duration(gap * float64(time.Second))
	if ar.at > ar.cfg.For {
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

// Run sends the load and waits for the last answer. The end of ctx stops new
// arrivals only. A Load can be run once at a time.
func (lo *Load) Run(ctx context.Context) (LoadReport, error) {
	lr, err := lo.begin()
	if err != nil {
		return LoadReport{}, newError("Load.Run", KindConfig, err)
	}
	lr.dispatch(ctx)
	return lr.end(), nil
}

// loadRun is one run of a Load.
type loadRun struct {
	load  *Load
	pool  *ants.Pool
	start time.Time
	tally *tally
	sent  sync.WaitGroup
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
		lr.tally.arrive(time.Since(scheduled))
		lr.sent.Add(1)
		err := lr.pool.Submit(func() {
			defer lr.sent.Done()
			lr.load.send(due, scheduled, lr.tally)
		})
		if err != nil {
			lr.sent.Done()
			lr.tally.drop()
		}
	}
}

// end waits for the answers still due.
func (lr *loadRun) end() LoadReport {
	lr.sent.Wait()
	elapsed := time.Since(lr.start)
	lr.pool.Release()
	lr.load.cli.CloseIdleConnections()
	return lr.tally.report(elapsed)
}

// sleepUntil tells whether the time came before ctx ended.
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

// send makes one search. Its latency counts from the scheduled arrival, so that
// a sender that falls behind makes figures worse and not better.
func (lo *Load) send(due arrival, scheduled time.Time, tl *tally) {
	ans, err := lo.exchange(due)
	if err != nil {
		tl.fail(err)
		return
	}
	tl.answer(ans, time.Since(scheduled))
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
	// The library repeats idempotent methods only, so this is sent once.
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
