package steer_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/queue"
	"laburnumvane/core/steer"
)

// The simulation below sends a shard, of which one server is lost and one is ten times slower, a
// sixth more load than the third one can handle.
const (
	vms           = 9
	slots         = 3
	queueMax      = 18
	perSecond     = 175.0
	simDuration   = 20 * time.Second
	target        = 130 * ms
	redirectAfter = 80 * ms
	slowFactor    = 10
	simSeed       = 11
)

// overloadSim is one simulation run.
type overloadSim struct {
	rnd      *rand.Rand
	events   eventQueue
	now      time.Duration
	bounded  bool
	servers  map[string]*simServer
	vms      []*simVM
	inTime   int
	finished int
}

type simVM struct {
	tb       *steer.Table
	window   map[string]int
	inFlight map[string]int
	queue    map[string]*queue.Queue[*simRequest]
}

type simServer struct {
	slowdown float64
	running  int
	waiting  []*simRequest
}

type simRequest struct {
	vm      *simVM
	arrived time.Duration
	sent    time.Duration
	server  string
	// queued is set while the request waits in its VM's queue.
	queued bool
	done   bool
	tried  []*origin.Upstream
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []simEvent

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	return eq[i].at < eq[j].at || eq[i].at == eq[j].at && eq[i].seq < eq[j].seq
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(simEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

func (sm *overloadSim) schedule(wait time.Duration, run func()) {
	heap.Push(&sm.events, simEvent{at: sm.now + wait, seq: len(sm.events), run: run})
}

func simulateOverload(bounded bool) *overloadSim {
	sm := &overloadSim{
		rnd:     rand.New(rand.NewPCG(simSeed, simSeed)),
		now:     time.Second,
		bounded: bounded,
		servers: map[string]*simServer{"near": {slowdown: 1}, "far": {slowdown: slowFactor}},
	}
	for range vms {
		sm.vms = append(sm.vms, &simVM{
			tb:       steer.New(steer.Config{DataCentre: "east"}),
			window:   map[string]int{"near": math.MaxInt, "far": math.MaxInt},
			inFlight: map[string]int{},
			queue:    map[string]*queue.Queue[*simRequest]{"near": {}, "far": {}},
		})
	}
	sm.schedule(0, sm.arrive)
	for len(sm.events) > 0 {
		next := heap.Pop(&sm.events).(simEvent)
		sm.now = next.at
		next.run()
	}
	return sm
}

func (sm *overloadSim) arrive() {
	if sm.now > simDuration {
		return
	}
	rq := &simRequest{vm: sm.vms[sm.rnd.IntN(vms)], arrived: sm.now}
	sm.dispatch(rq)
	sm.schedule(time.Duration(sm.rnd.ExpFloat64()/perSecond*float64(time.Second)), sm.arrive)
}

// dispatch sends a request, or queues it on its VM.
func (sm *overloadSim) dispatch(rq *simRequest) {
	up, ok := rq.vm.tb.Pick(sm.now, steer.RequestKind{UsualLatency: usual}, servers(), rq.tried, sm.rnd.Float64)
	if !ok {
		sm.finish(rq)
		return
	}
	rq.tried = append(rq.tried, up)
	rq.server = up.ID
	rq.vm.tb.Begin(sm.now, usual, up.Process())
	if sm.bounded && rq.vm.inFlight[up.ID] >= rq.vm.window[up.ID] {
		rq.queued = true
		rq.vm.queue[up.ID].Push(0, rq)
		sm.schedule(redirectAfter, func() { sm.redirect(rq) })
		return
	}
	sm.send(rq)
}

// redirect moves a request that is still queued on its VM to another server.
func (sm *overloadSim) redirect(rq *simRequest) {
	if !rq.queued || !rq.vm.queue[rq.server].Remove(rq) {
		return
	}
	rq.queued = false
	rq.vm.tb.Withdraw(sm.now, process(rq.server), redirectAfter)
	sm.dispatch(rq)
}

func (sm *overloadSim) send(rq *simRequest) {
	rq.queued = false
	rq.sent = sm.now
	rq.vm.inFlight[rq.server]++
	sv := sm.servers[rq.server]
	switch {
	case sv.running < slots:
		sm.start(sv, rq)
	case len(sv.waiting) < queueMax:
		sv.waiting = append(sv.waiting, rq)
	default:
		sm.complete(rq, fanout.Refused)
	}
}

func (sm *overloadSim) start(sv *simServer, rq *simRequest) {
	sv.running++
	work := float64(usual) * math.Exp(0.35*sm.rnd.NormFloat64()) * sv.slowdown
	sm.schedule(time.Duration(work), func() {
		sv.running--
		if len(sv.waiting) > 0 {
			next := sv.waiting[0]
			sv.waiting = sv.waiting[1:]
			sm.start(sv, next)
		}
		sm.complete(rq, fanout.Served)
	})
}

func (sm *overloadSim) complete(rq *simRequest, ve fanout.Verdict) {
	vm := rq.vm
	vm.inFlight[rq.server]--
	window := vm.tb.End(sm.now, process(rq.server), steer.Result{Verdict: ve, Latency: sm.now - rq.sent, UsualLatency: usual})
	vm.window[rq.server] = window
	if ve == fanout.Served && sm.now-rq.arrived <= target {
		sm.inTime++
	}
	sm.finish(rq)
	for vm.inFlight[rq.server] < window {
		next, ok := vm.queue[rq.server].Pop()
		if !ok {
			return
		}
		sm.send(next)
	}
}

func (sm *overloadSim) finish(rq *simRequest) {
	if !rq.done {
		rq.done = true
		sm.finished++
	}
}

// A shard has one fast server left, and gets a sixth more load than that can handle. Without
// windows the server's own queue fills up, every answer is late, and nothing is answered in time
// although the server is busy all the time. With windows the queue stays short, and most requests
// that it has capacity for are answered in time.
func TestOverloadAnswersInTime(t *testing.T) {
	is := is.New(t)
	without, with := simulateOverload(false), simulateOverload(true)
	t.Logf("in time without windows: %d of %d, with windows: %d of %d", without.inTime, without.finished, with.inTime, with.finished)
	is.True(with.inTime*2 > with.finished)
	is.True(with.inTime*10 > without.inTime*13)
}
