package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/budget"
	"laburnumvane/core/hedge"
	"laburnumvane/core/route"
)

const (
	// hedgeQuantile is the latency that counts as late. About 5 in 100 attempts
	// meet a pause or a long request; the next 2 are for the shape of the rest.
	hedgeQuantile = 0.93
	// hedgeFloor is the least wait: below it the noise of a small VM's own
	// processor would be taken for a late server.
	hedgeFloor = 8 * time.Millisecond
	// secondTimes is how many times the late latency is left to the second
	// server before the target. To ask it earlier gains nothing for the caller
	// and costs bytes between data centres: the second one is mostly far.
	secondTimes = 2
	// hedgeShare bounds the wait as a share of the target.
	hedgeShare = 0.55
	// usualStep is the share by which what is usual moves towards each latency,
	// whatever its size: it settles where half of them lie below. A mean moves with
	// the slow ones: with a sixth of the servers slow by ten it stood at twice what
	// a sound one took, and the queue that was let grow at a server with it.
	usualStep = 0.03
	// usualLeast keeps it above what a step rounds to nothing.
	usualLeast = 100 * time.Microsecond
	// usualGuess is the share of the target that is assumed at first.
	usualGuess = 8
)

// pace keeps the latencies of each route.
type pace struct {
	byRoute sync.Map // of *routePace by name
}

// routePace is what requests of one route take.
type routePace struct {
	target time.Duration
	late   *hedge.Tracker
	usual  atomic.Int64
}

func (pa *pace) of(rt *route.Route) *routePace {
	if rp, ok := pa.byRoute.Load(rt.Name); ok && rp.(*routePace).target == rt.Target {
		return rp.(*routePace)
	}
	rp := &routePace{target: rt.Target, late: hedge.New(hedge.Config{
		Quantile: hedgeQuantile,
		Floor:    hedgeFloor,
		Ceiling:  time.Duration(hedgeShare * float64(rt.Target)),
	})}
	rp.usual.Store(int64(rt.Target / usualGuess))
	pa.byRoute.Store(rt.Name, rp)
	return rp
}

// delay is how long an attempt may take before a second server is asked; back is how
// long before the target an answer has to leave.
func (rp *routePace) delay(back time.Duration) time.Duration {
	late := rp.late.Delay()
	most := time.Duration(hedgeShare * float64(rp.target))
	return min(max(late, rp.target-back-secondTimes*late), most)
}

// observe takes in what one server took.
func (rp *routePace) observe(took time.Duration) {
	rp.late.Observe(took)
	was := rp.usual.Load()
	step := int64(usualStep * float64(was))
	if int64(took) < was {
		step = -step
	}
	// Two at once may lose one of them, which changes nothing much.
	rp.usual.Store(max(was+step, int64(usualLeast)))
}

// takes is what a request takes at most servers.
func (rp *routePace) takes() time.Duration { return time.Duration(rp.usual.Load()) }

// Extra bounds the attempts beyond the first, for all VMs together.
type Extra struct {
	// Share is that of a service's requests, Burst a number on top within each
	// Window.
	Share  float64
	Burst  int
	Window time.Duration
	// Part is this VM's part of the burst, 0 to 1.
	Part float64
}

const (
	// extraShare is the part of the allowed share that is used.
	extraShare = 0.85
	// extraDepth and extraFlow are the parts of the allowed burst that all VMs
	// together may use at once, and evenly within a window. Their sum leaves
	// room for VMs that start anew with a part of the first.
	extraDepth = 0.6
	extraFlow  = 0.25
	// extraStart is the part of its depth that a VM begins with: many may start
	// within one window.
	extraStart = 0.5
)

// budgets holds one budget for each service.
type budgets struct {
	mu        sync.RWMutex
	extra     Extra
	byService map[string]*serviceBudget
}

type serviceBudget struct {
	*budget.Budget
	// credited is when time was last made up for.
	credited atomic.Int64
}

func newBudgets() *budgets { return &budgets{byService: make(map[string]*serviceBudget)} }

// set takes new bounds. Budgets are made anew, each with no more tokens than it
// had.
func (bs *budgets) set(ex Extra) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if bs.extra == ex {
		return
	}
	bs.extra = ex
	for name, was := range bs.byService {
		made := bs.make(max(0, was.Tokens()))
		made.credited.Store(was.credited.Load())
		bs.byService[name] = made
	}
}

// part is this VM's part of the burst.
func (bs *budgets) part() float64 {
	return float64(bs.extra.Burst) * bs.extra.Part
}

func (bs *budgets) make(tokens int) *serviceBudget {
	depth := max(1, extraDepth*bs.part())
	bu := budget.New(budget.Config{Share: extraShare * bs.extra.Share, Burst: depth})
	if over := bu.Tokens() - tokens; over > 0 {
		bu.Charge(over)
	}
	return &serviceBudget{Budget: bu}
}

func (bs *budgets) of(now time.Duration, service string) *serviceBudget {
	bs.mu.RLock()
	bu, ok := bs.byService[service]
	bs.mu.RUnlock()
	if ok {
		return bu
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if bu, ok = bs.byService[service]; !ok {
		bu = bs.make(int(extraStart * extraDepth * bs.part()))
		bu.credited.Store(int64(now))
		bs.byService[service] = bu
	}
	return bu
}

// earn credits a request and the time since the one before.
func (bs *budgets) earn(now time.Duration, service string) {
	bu := bs.of(now, service)
	since := now - time.Duration(bu.credited.Swap(int64(now)))
	bs.mu.RLock()
	flow, window := extraFlow*bs.part(), bs.extra.Window
	bs.mu.RUnlock()
	if window > 0 && since > 0 {
		bu.Credit(flow * min(1, float64(since)/float64(window)))
	}
	bu.Earn(1)
}

// spend takes a token.
func (bs *budgets) spend(now time.Duration, service string) bool { return bs.of(now, service).Spend() }
