package poison_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"laburnumvane/core/poison"
)

// A simulated fleet: VMs with a table each, shards with servers, and callers. Servers crash under
// some requests, or for other reasons while requests run.

const (
	ms = time.Millisecond
	// shareDelay is how long it takes until other VMs get a shared record.
	shareDelay = 250 * ms
	// hintDelay is the same for a hint; hintMinBroken is the number of broken attempts after
	// which one is sent.
	hintDelay     = 8 * ms
	hintMinBroken = 3
	// retryDelay is how long a caller takes to retry on another VM.
	retryDelay = 5 * ms
	// dialDelay is how long it takes to find out that a server is down.
	dialDelay = 2 * ms
	// forwardDelay is how long it takes to forward a request to another VM.
	forwardDelay = 3 * ms
	// restartTime is how long a crashed server is down.
	restartTime = 3 * time.Second
	// timeToCrash is how long a server runs a crashing request before it crashes.
	timeToCrash = 30 * ms
	// learnWindow is how long after the third crash the request may still reach servers freely,
	// and maxLateArrivals how many arrivals may do so later.
	learnWindow     = 4 * time.Second
	maxLateArrivals = 3
)

// fleetConfig is the size of a fleet and the load of its callers.
type fleetConfig struct {
	name       string
	vms        int
	shards     int
	replicas   int
	idempotent bool
	rate       int
	work       time.Duration
}

// fleet is one simulation run.
type fleet struct {
	cfg    fleetConfig
	rnd    *rand.Rand
	now    time.Duration
	events eventQueue
	vms    []*simVM
	// servers are listed by shard and replica; each restart of one is another process.
	servers     [][]*simServer
	attempts    map[*simServer][]*simAttempt
	lastRequest int

	// crashedAt holds when servers crashed under each crashing request, and reachedAt when its
	// arrivals first reached one.
	crashedAt map[poison.Fingerprint][]time.Duration
	reachedAt map[poison.Fingerprint][]time.Duration
	// lost is the share of answers that are lost together with their connections.
	lost   float64
	counts map[string]int
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue struct {
	items []simEvent
	seq   int
}

func (eq *eventQueue) Len() int { return len(eq.items) }
func (eq *eventQueue) Less(i, j int) bool {
	if eq.items[i].at != eq.items[j].at {
		return eq.items[i].at < eq.items[j].at
	}
	return eq.items[i].seq < eq.items[j].seq
}
func (eq *eventQueue) Swap(i, j int) { eq.items[i], eq.items[j] = eq.items[j], eq.items[i] }
func (eq *eventQueue) Push(x any)    { eq.items = append(eq.items, x.(simEvent)) }
func (eq *eventQueue) Pop() any {
	last := eq.items[len(eq.items)-1]
	eq.items = eq.items[:len(eq.items)-1]
	return last
}

func newFleet(cfg fleetConfig, seed uint64) *fleet {
	ft := &fleet{
		cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 1)), attempts: map[*simServer][]*simAttempt{}, counts: map[string]int{},
		crashedAt: map[poison.Fingerprint][]time.Duration{}, reachedAt: map[poison.Fingerprint][]time.Duration{},
		servers: make([][]*simServer, cfg.shards),
	}
	for i := range cfg.vms {
		ft.vms = append(ft.vms, &simVM{index: i, table: poison.New(), unreachable: map[string]bool{}, waiting: map[poison.Fingerprint][]func(){}})
	}
	for i := range cfg.shards {
		for r := range cfg.replicas {
			sv := &simServer{shard: i, replica: r}
			sv.start()
			ft.servers[i] = append(ft.servers[i], sv)
		}
	}
	return ft
}

func (ft *fleet) schedule(wait time.Duration, run func()) {
	ft.events.seq++
	heap.Push(&ft.events, simEvent{at: ft.now + wait, seq: ft.events.seq, run: run})
}

func (ft *fleet) run(until time.Duration) {
	for len(ft.events.items) > 0 && ft.events.items[0].at <= until {
		ev := heap.Pop(&ft.events).(simEvent)
		ft.now = ev.at
		ev.run()
	}
	ft.now = until
}

// callerTimeout is how long callers wait.
func (ft *fleet) callerTimeout() time.Duration {
	if ft.cfg.shards == 1 {
		return 1500 * ms
	}
	return 400 * ms
}

func (ft *fleet) otherVM(vm *simVM) *simVM {
	return ft.vms[(vm.index+1+ft.rnd.IntN(len(ft.vms)-1))%len(ft.vms)]
}

// sendBackground sends distinct harmless requests throughout the run.
func (ft *fleet) sendBackground(until time.Duration) {
	gap := time.Second / time.Duration(ft.cfg.rate)
	var next func()
	next = func() {
		ft.lastRequest++
		ft.arrive(ft.vms[ft.rnd.IntN(len(ft.vms))], fingerprint(ft.lastRequest), false, 1)
		if ft.now < until {
			ft.schedule(time.Duration(ft.rnd.ExpFloat64()*float64(gap)), next)
		}
	}
	ft.schedule(0, next)
}

// repeatInterval is the mean interval at which each of repeatingCallers repeats its request.
const (
	repeatInterval   = 1500 * ms
	repeatingCallers = 6
)

// sendRepeated sends repeated harmless requests: they run on several VMs when servers crash, and
// again at later crashes.
func (ft *fleet) sendRepeated(until time.Duration) {
	for n := range repeatingCallers {
		var next func()
		next = func() {
			ft.arrive(ft.vms[ft.rnd.IntN(len(ft.vms))], fingerprint(2_000_000+n), false, 1)
			if ft.now < until {
				ft.schedule(time.Duration(ft.rnd.ExpFloat64()*float64(repeatInterval)), next)
			}
		}
		ft.schedule(0, next)
	}
}

// lateArrivals counts the arrivals of a request that reached servers later than learnWindow after
// the third crash under it.
func (ft *fleet) lateArrivals(fp poison.Fingerprint) int {
	if len(ft.crashedAt[fp]) < 3 {
		return 0
	}
	n := 0
	for _, at := range ft.reachedAt[fp] {
		if at > ft.crashedAt[fp][2]+learnWindow {
			n++
		}
	}
	return n
}

// crashingRequest returns the fingerprint of crashing request n; those of harmless requests count
// from 1.
func crashingRequest(n int) poison.Fingerprint { return fingerprint(1_000_000 + n) }

func fleetConfigs() []fleetConfig {
	return []fleetConfig{
		{"10 shards", 8, 10, 3, true, 150, 8 * ms},
		{"36 shards", 12, 36, 3, true, 100, 8 * ms},
		{"54 shards", 12, 54, 3, true, 60, 8 * ms},
		{"slow searches", 8, 10, 3, true, 60, 30 * ms},
		{"one service of 4", 8, 1, 4, true, 150, 40 * ms},
		{"one service of 4, once only", 8, 1, 4, false, 150, 40 * ms},
	}
}
