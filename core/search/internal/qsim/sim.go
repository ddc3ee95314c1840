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
	// viewLag is how long the sender's view takes to show a lost server.
	viewLag = time.Second
	// signLag is how long it takes to show a sign that came with a reply.
	signLag = 50 * time.Millisecond
	// silentFor is how long a silent connection goes unnoticed.
	silentFor = 1500 * time.Millisecond
	// dialHops is the time of a refused dial, in hops.
	dialHops   = 2
	hedgeFloor = 2 * time.Millisecond
	leastTime  = time.Millisecond
	hitLimit   = 20
	longest    = int64(time.Minute / time.Microsecond)
	digits     = 3
)

// sim is one run.
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

// run is one search under way.
type run struct {
	mc      *search.Machine
	begun   time.Duration
	wake    time.Duration
	flights []*flight
	done    bool
}

// flight is one sub-request under way.
type flight struct {
	rn     *run
	ac     search.Action
	server *server
	// ended is set once the server has nothing more to do with it.
	ended   bool
	running bool
}

// Run measures one configuration.
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
		hedges:  budget.New(budget.Config{Share: po.Share, Burst: po.Burst, Rounds: po.HedgeRounds}),
		retries: budget.New(budget.Config{Share: po.RetryShare, Burst: po.RetryBurst, Rounds: po.RetryRounds}),
		res: Result{
			Latency: hdrhistogram.New(1, longest, digits),
			Reasons: map[string]int{},
			shards:  cfg.Plant.Shards,
		},
	}
	sm.build()
	sm.plan()
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
	case evReach:
		ev.fl.server.take(sm, ev.fl)
	case evWorked:
		ev.fl.server.worked(sm, ev.fl)
	case evCancel:
		ev.fl.server.giveUp(sm, ev.fl)
	case evTold:
		sm.told(ev.fl, ev.what)
	case evWake:
		if !ev.rn.done && ev.rn.wake == sm.Now() {
			sm.perform(ev.rn, ev.rn.mc.Step(sm.Now(), search.Event{Kind: search.EvWake}))
		}
	case evCall:
		ev.call()
	}
}

func (sm *sim) hop() time.Duration {
	hop := sm.cfg.Plant.Hop
	return hop + time.Duration(sm.rnd.ExpFloat64()*float64(hop)/4)
}

// arrive starts a search and plans the next one.
func (sm *sim) arrive() {
	sm.arrived++
	if sm.arrived < sm.cfg.Searches {
		mean := float64(time.Second) / (sm.cfg.Plant.rate() * sm.cfg.Load)
		sm.After(time.Duration(sm.rnd.ExpFloat64()*mean), event{kind: evArrive})
	}
	sm.res.Offered++
	sm.res.Span = sm.Now()
	if sm.cfg.MaxInFlight > 0 && sm.inFlight >= sm.cfg.MaxInFlight {
		return
	}
	sm.res.Admitted++
	sm.inFlight++
	sm.runs++
	rn := &run{begun: sm.Now()}
	rn.mc = search.New(sm.planOf())
	sm.perform(rn, rn.mc.Start(sm.Now()))
}

// planOf is the configuration of one search, as the driver makes it.
func (sm *sim) planOf() search.Config {
	po := sm.cfg.Policy
	delay := po.Fixed
	if delay == 0 && po.Quantile > 0 {
		delay = sm.tracker.Delay()
	}
	sn, _ := sm.register.Pin(sm.live)
	return search.Config{
		Number:        uint64(sm.runs),
		Snapshot:      sn,
		Newer:         func(version uint64) (view.Snapshot, bool) { return sm.register.Newer(version, sm.live) },
		Soft:          sm.Now() + sm.cfg.Soft,
		Hard:          sm.Now() + sm.cfg.Hard,
		MinCoverage:   sm.cfg.MinCoverage,
		HitLimit:      hitLimit,
		Chooser:       sm,
		HedgeDelay:    delay,
		LostDelay:     time.Duration(po.LostTimes * float64(delay)),
		HedgeBudget:   sm.hedges,
		RetryBudget:   sm.retries,
		RetryPerShard: perShard,
		LeastTime:     leastTime,
	}
}

func (sm *sim) perform(rn *run, actions []search.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case search.ActSend:
			sm.send(rn, ac)
		case search.ActCancel:
			sm.cancel(rn.flights[ac.Sub.Attempt])
		case search.ActWake:
			rn.wake = ac.At
			sm.After(max(0, ac.At-sm.Now()), event{kind: evWake, rn: rn})
		case search.ActAnswer:
			rn.done = true
			sm.inFlight--
			sm.res.add(sm.Now()-rn.begun, ac.Answer, sm.cfg.MinCoverage)
		}
	}
}

func (sm *sim) send(rn *run, ac search.Action) {
	sv := sm.servers[ac.Server]
	fl := &flight{rn: rn, ac: ac, server: sv}
	fl.ac.Started = sm.Now()
	rn.flights = append(rn.flights, fl)
	sv.flying++
	if sv.dead && !sm.cfg.Fault.Silent {
		sm.After(dialHops*sm.cfg.Plant.Hop, event{kind: evTold, fl: fl, what: search.Event{Kind: search.EvFailed, Reason: "dial"}})
		return
	}
	sm.res.sent(ac.Attempt)
	sm.After(sm.hop(), event{kind: evReach, fl: fl})
}

func (sm *sim) cancel(fl *flight) {
	took := sm.Now() - fl.ac.Started
	fl.server.flying--
	fl.server.observe(took, false)
	sm.tracker.GaveUp(took)
	fl.rn.flights[fl.ac.Sub.Attempt] = nil
	sm.After(sm.hop(), event{kind: evCancel, fl: fl})
}

// told hands the end of a sub-request to its search.
func (sm *sim) told(fl *flight, what search.Event) {
	rn := fl.rn
	if rn.flights[fl.ac.Sub.Attempt] == nil {
		return // given up before
	}
	rn.flights[fl.ac.Sub.Attempt] = nil
	fl.server.flying--
	what.Sub = fl.ac.Sub
	if what.Kind == search.EvReply {
		took := sm.Now() - fl.ac.Started
		fl.server.observe(took, true)
		sm.tracker.Observe(took)
	}
	if what.Elsewhere {
		sm.sign(fl.server)
	}
	sm.perform(rn, rn.mc.Step(sm.Now(), what))
}
