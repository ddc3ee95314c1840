package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/budget"
	"laburnumvane/core/fanout"
	"laburnumvane/core/hedge"
	"laburnumvane/core/route"
)

const (
	// hedgeQuantile is the latency quantile after which an attempt counts as late. About 5 in
	// 100 attempts meet a pause or a long request; 2 more allow for the shape of the
	// distribution.
	hedgeQuantile = 0.93
	// minHedgeDelay is the least delay of a hedge. With less, scheduling noise on a small VM
	// would be taken for a late server.
	minHedgeDelay = 8 * time.Millisecond
	// hedgeLeadFactor times the late latency is left to the second server before the target. To
	// ask it earlier gains nothing for the client and costs traffic between data centres,
	// because the second server is mostly in another one.
	hedgeLeadFactor = 2
	// maxHedgeShare limits the delay of a hedge to a share of the target.
	maxHedgeShare = 0.55
	// usualStep is the share by which the usual latency moves towards each observed latency,
	// whatever the difference: it settles at the median. A mean follows the slow servers: with
	// a sixth of the servers ten times slower, it was twice the latency of a healthy server,
	// and the queue that was allowed at a server grew with it.
	usualStep = 0.03
	// minUsual keeps the usual latency above the value at which a step rounds to 0.
	minUsual = 100 * time.Microsecond
	// initialUsualDivisor: the usual latency is first assumed to be the target divided by this.
	initialUsualDivisor = 8
)

// latencies holds the latency statistics of each route.
type latencies struct {
	byRoute sync.Map // of *routeLatency by name
}

// routeLatency is the latency statistics of one route.
type routeLatency struct {
	target time.Duration
	hedge  *hedge.Tracker
	usual  atomic.Int64
}

func (la *latencies) forRoute(rt *route.Route) *routeLatency {
	if rl, ok := la.byRoute.Load(rt.Name); ok && rl.(*routeLatency).target == rt.Target {
		return rl.(*routeLatency)
	}
	rl := &routeLatency{target: rt.Target, hedge: hedge.New(hedge.Config{
		Quantile: hedgeQuantile,
		Floor:    minHedgeDelay,
		Ceiling:  time.Duration(maxHedgeShare * float64(rt.Target)),
	})}
	rl.usual.Store(int64(rt.Target / initialUsualDivisor))
	la.byRoute.Store(rt.Name, rl)
	return rl
}

// hedgeDelay returns how long an attempt may take before a second server is asked. overhead is
// how long before the target a response has to be sent.
func (rl *routeLatency) hedgeDelay(overhead time.Duration) time.Duration {
	late := rl.hedge.Delay()
	maxDelay := time.Duration(maxHedgeShare * float64(rl.target))
	return min(max(late, rl.target-overhead-hedgeLeadFactor*late), maxDelay)
}

// observe records the latency of one server.
func (rl *routeLatency) observe(took time.Duration) {
	rl.hedge.Observe(took)
	old := rl.usual.Load()
	step := int64(usualStep * float64(old))
	if int64(took) < old {
		step = -step
	}
	// Of two concurrent updates one may be lost; the estimate tolerates that.
	rl.usual.Store(max(old+step, int64(minUsual)))
}

// usualLatency returns the latency of a request at most servers.
func (rl *routeLatency) usualLatency() time.Duration { return time.Duration(rl.usual.Load()) }

// ExtraAttempts limits the attempts beyond the first, for all VMs together.
type ExtraAttempts struct {
	// Share is the ratio of extra attempts to a service's requests. Burst is a number of extra
	// attempts in addition, within each Window.
	Share  float64
	Burst  int
	Window time.Duration
	// Part is this VM's part of the burst, from 0 to 1.
	Part float64
}

const (
	// usedShare is the part of the allowed share that is used.
	usedShare = 0.85
	// burstDepthShare and burstRefillShare are the parts of the allowed burst that all VMs
	// together may use at once and evenly within a window. Their sum leaves room for VMs that
	// restart with initialDepthShare of the depth.
	burstDepthShare  = 0.6
	burstRefillShare = 0.25
	// initialDepthShare is the part of its depth with which a VM starts, because many VMs may
	// start within one window.
	initialDepthShare = 0.5
)

// budgets holds one retry budget for each service.
type budgets struct {
	mu        sync.RWMutex
	extra     ExtraAttempts
	byService map[string]*serviceBudget
}

type serviceBudget struct {
	*budget.Budget
	// lastCredit is when tokens were last credited for elapsed time.
	lastCredit atomic.Int64
	// neededAt is when a request last needed an attempt not to fail; 0 if none has.
	neededAt atomic.Int64
}

func newBudgets() *budgets { return &budgets{byService: make(map[string]*serviceBudget)} }

// set applies new limits. Budgets are replaced, each with no more tokens than it had.
func (bs *budgets) set(ex ExtraAttempts) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if bs.extra == ex {
		return
	}
	bs.extra = ex
	for name, old := range bs.byService {
		bu := bs.newBudget(max(0, old.Tokens()))
		bu.lastCredit.Store(old.lastCredit.Load())
		bu.neededAt.Store(old.neededAt.Load())
		bs.byService[name] = bu
	}
}

// burstPart returns this VM's part of the burst.
func (bs *budgets) burstPart() float64 {
	return float64(bs.extra.Burst) * bs.extra.Part
}

// depth returns the maximum number of tokens of a budget.
func (bs *budgets) depth() float64 { return max(1, burstDepthShare*bs.burstPart()) }

func (bs *budgets) newBudget(tokens int) *serviceBudget {
	depth := bs.depth()
	bu := budget.New(budget.Config{Share: usedShare * bs.extra.Share, Burst: depth})
	if over := bu.Tokens() - tokens; over > 0 {
		bu.Charge(over)
	}
	return &serviceBudget{Budget: bu}
}

func (bs *budgets) forService(now time.Duration, service string) *serviceBudget {
	bs.mu.RLock()
	bu, ok := bs.byService[service]
	bs.mu.RUnlock()
	if ok {
		return bu
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if bu, ok = bs.byService[service]; !ok {
		bu = bs.newBudget(int(initialDepthShare * burstDepthShare * bs.burstPart()))
		bu.lastCredit.Store(int64(now))
		bs.byService[service] = bu
	}
	return bu
}

// earn credits the tokens for one request and for the time since the previous one.
func (bs *budgets) earn(now time.Duration, service string) {
	bu := bs.forService(now, service)
	since := now - time.Duration(bu.lastCredit.Swap(int64(now)))
	bs.mu.RLock()
	flow, window := burstRefillShare*bs.burstPart(), bs.extra.Window
	bs.mu.RUnlock()
	if window > 0 && since > 0 {
		bu.Credit(flow * min(1, float64(since)/float64(window)))
	}
	bu.Earn(1)
}

// spend takes a token and reports whether there was one, apart from those that are kept for more
// important needs.
func (bs *budgets) spend(now time.Duration, service string, need fanout.Need) bool {
	bu := bs.forService(now, service)
	if need == fanout.NeedAnswer {
		bu.neededAt.Store(int64(now))
		return bu.Spend()
	}
	neededAt := time.Duration(bu.neededAt.Load())
	if neededAt == 0 {
		return bu.Spend()
	}
	bs.mu.RLock()
	reserve := need.Reserve(bs.depth(), now-neededAt)
	bs.mu.RUnlock()
	return bu.SpendAbove(reserve)
}
