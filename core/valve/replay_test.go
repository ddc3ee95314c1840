package valve_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	"laburnumvane/core/budget"
	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
	"laburnumvane/core/valve"
	"laburnumvane/internal/vtime"
)

// The replay runs VMs that send gathers to servers with slots and a short queue, in virtual time.
// It models what decides whether the minimum coverage is met in time: slow, failing and silent
// servers, connections, retry tokens and the valve. The processor time of the VMs is not modelled.
const (
	ms = time.Millisecond

	replayVMs      = 6
	replayShards   = 36
	replayMinParts = 35
	replayCopies   = 3
	replayDCs      = 3
	replayUsual    = 12 * ms
	replayDeadline = 800 * ms
	dialInterval   = 300 * ms
	// The limits on extra attempts, for all VMs together, and the parts of them that io/entry uses.
	extraShare  = 0.2
	extraSlack  = 60
	extraWindow = 10 * time.Second
	extraUsed   = 0.85
	extraDepth  = 0.6
	extraFlow   = 0.25
)

// replayTargets are the targets of the two routes, each with half of the load.
var replayTargets = []time.Duration{80 * ms, 300 * ms}

// Results of requests; the others are named by their outcome and reason.
const (
	resultInTime  = "in time"
	resultRefused = "refused"
)

// rule is what the valve is told about a request.
type rule uint8

const (
	// noValve admits all requests.
	noValve rule = iota
	// anyDenial counts each late request of which a needed attempt had no token or one waited for a
	// connection. It is the rule in use before capacityOnly; retries do not wait for tokens.
	anyDenial
	// capacityOnly counts the late requests that lacked capacity.
	capacityOnly
)

// replayVM is what one VM knows of servers, and its tokens, connections and valves.
type replayVM struct {
	index      int
	dataCentre string
	table      *steer.Table
	budgets    []*budget.Budget
	lastCredit []time.Duration
	// neededAt is when a request last needed a further attempt at a shard.
	neededAt []time.Duration
	conns    map[string]*replayConns // by server id
	valves   []*valve.Valve
}

type replay struct {
	vtime.Agenda[func()]
	// load draws the arrivals, so that they are the same with each rule; rnd draws everything else.
	load, rnd *rand.Rand
	rule      rule
	scene     *scene
	servers   []*replayServer
	shards    [replayShards][]*origin.Upstream
	vms       []*replayVM
	// results counts results by the second of arrival. primary and extra hold the times of first
	// and further attempts by shard.
	results        []map[string]int
	primary, extra [replayShards][]time.Duration
}

func newReplay(sc *scene, ru rule, seed uint64) *replay {
	rp := &replay{load: rand.New(rand.NewPCG(seed, 1)), rnd: rand.New(rand.NewPCG(seed, 2)), rule: ru, scene: sc}
	for i := range replayShards * replayCopies {
		up := &origin.Upstream{ID: strconv.Itoa(i), Addr: strconv.Itoa(i), DataCentre: strconv.Itoa(i % replayDCs)}
		rp.servers = append(rp.servers, &replayServer{rp: rp, up: up, faults: sc.faults[i]})
		rp.shards[i/replayCopies] = append(rp.shards[i/replayCopies], up)
	}
	for i := range replayVMs {
		rp.vms = append(rp.vms, rp.newVM(i))
	}
	return rp
}

func (rp *replay) newVM(index int) *replayVM {
	vm := &replayVM{
		index:      index,
		dataCentre: strconv.Itoa(index % replayDCs),
		table:      steer.New(steer.Config{DataCentre: strconv.Itoa(index % replayDCs)}),
		lastCredit: make([]time.Duration, replayShards),
		neededAt:   make([]time.Duration, replayShards),
		conns:      make(map[string]*replayConns),
	}
	for _, sv := range rp.servers {
		vm.conns[sv.up.ID] = &replayConns{vm: vm, server: sv, window: maxConns}
	}
	for range replayShards {
		vm.budgets = append(vm.budgets, budget.New(budget.Config{Share: extraUsed * extraShare, Burst: extraDepth * extraSlack / replayVMs}))
	}
	for range replayTargets {
		vm.valves = append(vm.valves, valve.New(valve.Config{}))
	}
	return vm
}

// run replays the scene.
func (rp *replay) run() {
	rp.results = make([]map[string]int, int(rp.scene.until/time.Second)+1)
	for i := range rp.results {
		rp.results[i] = map[string]int{}
	}
	rp.After(0, rp.arrive)
	rp.After(dialInterval, rp.dial)
	for event := range rp.Until(rp.scene.until + time.Second) {
		event()
	}
}

func (rp *replay) arrive() {
	if rp.Now() >= rp.scene.until {
		return
	}
	rp.offer(rp.vms[rp.load.IntN(replayVMs)], rp.load.IntN(len(replayTargets)))
	rp.After(time.Duration(rp.load.ExpFloat64()/rp.scene.rate*float64(time.Second)), rp.arrive)
}

// dial opens connections to the servers that a VM avoids: each shows within the interval whether its
// server can be reached.
func (rp *replay) dial() {
	for _, vm := range rp.vms {
		for _, sv := range rp.servers {
			if reached := !sv.silentTo(vm.index); reached {
				vm.table.RecordConnect(rp.Now(), sv.up.Process(), reached)
			}
		}
	}
	rp.After(dialInterval, rp.dial)
}

// offer is a request of a route that reaches a VM.
func (rp *replay) offer(vm *replayVM, route int) {
	va := vm.valves[route]
	if rp.rule == capacityOnly {
		va.Advance(rp.Now())
	}
	if rp.rule != noValve && !va.Admit(0, rp.rnd.Float64()) {
		rp.results[rp.Now()/time.Second][resultRefused]++
		return
	}
	target := replayTargets[route]
	late := 3 * replayUsual
	rq := &replayRequest{
		rp: rp, vm: vm, valve: va, arrived: rp.Now(), target: rp.Now() + target,
		hedgeAfter: min(max(late, target-2*late), target*55/100),
	}
	cfg := fanout.Config{
		Shards: replayShards, MinParts: replayMinParts, Idempotent: true, MaxAttempts: 2,
		Target: rq.target, HardDeadline: rq.arrived + replayDeadline, HedgeAfter: rq.hedgeAfter,
		MinTimeLeft: 3 * ms, Rand: rp.rnd.Float64, Chooser: rq, Budget: rq,
	}
	if rp.rule != anyDenial {
		cfg.Capacity = func(now time.Duration, shard int) fanout.Capacity {
			return vm.table.Capacity(now, replayUsual, target, rp.shards[shard])
		}
	}
	rq.mc = fanout.New(cfg)
	rq.earn()
	rq.perform(rq.mc.Start(rp.Now()))
}

// count adds the result of a request that was sent, and records it in the valve.
func (rp *replay) count(rq *replayRequest, an fanout.Answer) {
	result := an.Outcome.String() + " " + an.Reason
	late := an.Outcome != fanout.OutcomeServed || an.At > rq.target
	switch {
	case !late:
		result = resultInTime
	case an.Outcome == fanout.OutcomeServed:
		result = "late"
	}
	rp.results[rq.arrived/time.Second][result]++
	switch rp.rule {
	case anyDenial:
		rq.valve.Record(late && rq.denied)
	case capacityOnly:
		if late && an.Lacked {
			rq.valve.RecordShort(rp.Now(), an.LackedAt)
		} else {
			rq.valve.Record(false)
		}
	}
}
