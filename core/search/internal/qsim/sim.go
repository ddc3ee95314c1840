package qsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumvane/core/budget"
	"laburnumvane/core/hedge"
	"laburnumvane/core/search"
	"laburnumvane/core/view"
	"laburnumvane/internal/vtime"
)

const (
	// viewLag is how long the sender's view takes to exclude a crashed server.
	viewLag = time.Second
	// leavingLag is how long the view takes to exclude a server that refused a
	// sub-request because it is leaving.
	leavingLag = 50 * time.Millisecond
	// silentDetectTime is how long it takes to detect a connection to a server
	// that no longer answers.
	silentDetectTime = 1500 * time.Millisecond
	// dialHops is how long a refused dial takes, in multiples of Topology.Hop.
	dialHops          = 2
	hedgeFloor        = 2 * time.Millisecond
	leastTime         = time.Millisecond
	hitLimit          = 20
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// sim is the state of one run.
type sim struct {
	vtime.Agenda[event]
	cfg      Config
	rnd      *rand.Rand
	servers  []*server
	runs     int
	inFlight int
	arrived  int
	tracker  *hedge.Tracker
	hedges   *budget.Budget
	retries  *budget.Budget
	register view.Register
	version  uint64
	res      Result
}

// run is one search.
type run struct {
	mc      *search.Machine
	started time.Duration
	wake    time.Duration
	subs    []*subRequest
	done    bool
}

// subRequest is one sub-request.
type subRequest struct {
	run    *run
	ac     search.Action
	server *server
	// ended is set once the server has finished, refused or lost it, or has
	// processed its cancellation.
	ended   bool
	running bool
}

// Run simulates one configuration until all searches are answered.
func Run(cfg Config) Result {
	po := cfg.Policy
	sm := &sim{
		cfg: cfg,
		rnd: rand.New(rand.NewPCG(cfg.Seed, 1)),
		tracker: hedge.New(hedge.Config{
			Quantile: po.Quantile,
			Floor:    hedgeFloor,
			Ceiling:  cfg.Hard / 2,
		}),
		hedges:  budget.New(budget.Config{Share: po.Share, Burst: po.Burst, BurstPerPrimary: po.HedgeRounds}),
		retries: budget.New(budget.Config{Share: po.RetryShare, Burst: po.RetryBurst, BurstPerPrimary: po.RetryRounds}),
		res: Result{
			Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			Reasons: map[string]int{},
			shards:  cfg.Topology.Shards,
		},
	}
	sm.buildServers()
	sm.scheduleFaults()
	sm.After(0, event{kind: evArrive})
	for ev := range sm.Until(math.MaxInt64) {
		sm.handle(ev)
	}
	return sm.res
}

func (sm *sim) handle(ev event) {
	switch ev.kind {
	case evArrive:
		sm.arrive()
	case evDelivered:
		ev.sub.server.receive(sm, ev.sub)
	case evServed:
		ev.sub.server.served(sm, ev.sub)
	case evCancel:
		ev.sub.server.cancelWork(sm, ev.sub)
	case evResult:
		sm.onResult(ev.sub, ev.result)
	case evWake:
		if !ev.run.done && ev.run.wake == sm.Now() {
			sm.perform(ev.run, ev.run.mc.Step(sm.Now(), search.Event{Kind: search.EvWake}))
		}
	case evPlanned:
		ev.call()
	}
}

func (sm *sim) hop() time.Duration {
	hop := sm.cfg.Topology.Hop
	return hop + time.Duration(sm.rnd.ExpFloat64()*float64(hop)/4)
}

// arrive starts a search and schedules the next arrival.
func (sm *sim) arrive() {
	sm.arrived++
	if sm.arrived < sm.cfg.Searches {
		mean := float64(time.Second) / (sm.cfg.Topology.rate() * sm.cfg.Load)
		sm.After(time.Duration(sm.rnd.ExpFloat64()*mean), event{kind: evArrive})
	}
	sm.res.Offered++
	sm.res.LastArrival = sm.Now()
	if sm.cfg.MaxInFlight > 0 && sm.inFlight >= sm.cfg.MaxInFlight {
		return
	}
	sm.res.Admitted++
	sm.inFlight++
	sm.runs++
	rn := &run{started: sm.Now()}
	rn.mc = search.New(sm.searchConfig())
	sm.perform(rn, rn.mc.Start(sm.Now()))
}

// searchConfig returns the configuration of one search, as io/drive sets it.
func (sm *sim) searchConfig() search.Config {
	po := sm.cfg.Policy
	delay := po.Fixed
	if delay == 0 && po.Quantile > 0 {
		delay = sm.tracker.Delay()
	}
	sn, _ := sm.register.Pin(sm.live)
	return search.Config{
		ID:            uint64(sm.runs),
		Snapshot:      sn,
		Newer:         func(version uint64) (view.Snapshot, bool) { return sm.register.NewerComplete(version, sm.live) },
		SoftDeadline:  sm.Now() + sm.cfg.Soft,
		HardDeadline:  sm.Now() + sm.cfg.Hard,
		MinCoverage:   sm.cfg.MinCoverage,
		HitLimit:      hitLimit,
		Chooser:       sm,
		HedgeDelay:    delay,
		LostDelay:     time.Duration(po.LostFactor * float64(delay)),
		HedgeBudget:   sm.hedges,
		RetryBudget:   sm.retries,
		RetryPerShard: retriesPerShard,
		MinTimeLeft:   leastTime,
	}
}

func (sm *sim) perform(rn *run, actions []search.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case search.ActSend:
			sm.send(rn, ac)
		case search.ActCancel:
			sm.cancel(rn.subs[ac.Sub.Attempt])
		case search.ActWake:
			rn.wake = ac.At
			sm.After(max(0, ac.At-sm.Now()), event{kind: evWake, run: rn})
		case search.ActAnswer:
			rn.done = true
			sm.inFlight--
			sm.res.add(sm.Now()-rn.started, ac.Answer, sm.cfg.MinCoverage)
		}
	}
}

func (sm *sim) send(rn *run, ac search.Action) {
	sv := sm.servers[ac.Server]
	sr := &subRequest{run: rn, ac: ac, server: sv}
	sr.ac.Started = sm.Now()
	rn.subs = append(rn.subs, sr)
	sv.inFlight++
	if sv.dead && !sm.cfg.Fault.Silent {
		sm.After(dialHops*sm.cfg.Topology.Hop, event{kind: evResult, sub: sr, result: search.Event{Kind: search.EvFailed, Reason: "dial"}})
		return
	}
	sm.res.sent(ac.Attempt)
	sm.After(sm.hop(), event{kind: evDelivered, sub: sr})
}

func (sm *sim) cancel(sr *subRequest) {
	took := sm.Now() - sr.ac.Started
	sr.server.inFlight--
	sr.server.observe(took, false)
	sm.tracker.ObserveCancelled(took)
	sr.run.subs[sr.ac.Sub.Attempt] = nil
	sm.After(sm.hop(), event{kind: evCancel, sub: sr})
}

// onResult passes the result of a sub-request to its search.
func (sm *sim) onResult(sr *subRequest, ev search.Event) {
	rn := sr.run
	if rn.subs[sr.ac.Sub.Attempt] == nil {
		return // cancelled before
	}
	rn.subs[sr.ac.Sub.Attempt] = nil
	sr.server.inFlight--
	ev.Sub = sr.ac.Sub
	if ev.Kind == search.EvReply {
		took := sm.Now() - sr.ac.Started
		sr.server.observe(took, true)
		sm.tracker.Observe(took)
	}
	if ev.Elsewhere {
		sm.excludeLeaving(sr.server)
	}
	sm.perform(rn, rn.mc.Step(sm.Now(), ev))
}
