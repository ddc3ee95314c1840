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

// What follows replays the load of a shard of which one server is gone and one
// is ten times slower, at a sixth more than the third one can take.
const (
	vms       = 9
	slots     = 3
	queueMost = 18
	perSecond = 175.0
	playFor   = 20 * time.Second
	target    = 130 * ms
	moveAfter = 80 * ms
	slowTimes = 10
	loadSeed  = 11
)

// load is one play.
type load struct {
	rnd      *rand.Rand
	agenda   agenda
	now      time.Duration
	bounded  bool
	servers  map[string]*simServer
	vms      []*simVM
	inTime   int
	finished int
}

type simVM struct {
	tb     *steer.Table
	window map[string]int
	busy   map[string]int
	line   map[string]*queue.Line[*simRequest]
}

type simServer struct {
	times   float64
	running int
	waiting []*simRequest
}

type simRequest struct {
	vm     *simVM
	began  time.Duration
	sent   time.Duration
	server string
	// waits is set while it stands in its VM's line.
	waits bool
	over  bool
	tried []*origin.Upstream
}

type entry struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []entry

func (ag agenda) Len() int { return len(ag) }
func (ag agenda) Less(i, j int) bool {
	return ag[i].at < ag[j].at || ag[i].at == ag[j].at && ag[i].seq < ag[j].seq
}
func (ag agenda) Swap(i, j int) { ag[i], ag[j] = ag[j], ag[i] }
func (ag *agenda) Push(x any)   { *ag = append(*ag, x.(entry)) }
func (ag *agenda) Pop() any {
	last := (*ag)[len(*ag)-1]
	*ag = (*ag)[:len(*ag)-1]
	return last
}

func (lo *load) after(wait time.Duration, do func()) {
	heap.Push(&lo.agenda, entry{at: lo.now + wait, seq: len(lo.agenda), do: do})
}

func playLoad(bounded bool) *load {
	lo := &load{
		rnd:     rand.New(rand.NewPCG(loadSeed, loadSeed)),
		now:     time.Second,
		bounded: bounded,
		servers: map[string]*simServer{"near": {times: 1}, "far": {times: slowTimes}},
	}
	for range vms {
		lo.vms = append(lo.vms, &simVM{
			tb:     steer.New(steer.Config{DataCentre: "east"}),
			window: map[string]int{"near": math.MaxInt, "far": math.MaxInt},
			busy:   map[string]int{},
			line:   map[string]*queue.Line[*simRequest]{"near": {}, "far": {}},
		})
	}
	lo.after(0, lo.arrive)
	for len(lo.agenda) > 0 {
		next := heap.Pop(&lo.agenda).(entry)
		lo.now = next.at
		next.do()
	}
	return lo
}

func (lo *load) arrive() {
	if lo.now > playFor {
		return
	}
	rq := &simRequest{vm: lo.vms[lo.rnd.IntN(vms)], began: lo.now}
	lo.place(rq)
	lo.after(time.Duration(lo.rnd.ExpFloat64()/perSecond*float64(time.Second)), lo.arrive)
}

// place sends a request, or lets it wait at its VM.
func (lo *load) place(rq *simRequest) {
	up, ok := rq.vm.tb.Pick(lo.now, steer.Kind{Usual: usual}, servers(), rq.tried, lo.rnd.Float64)
	if !ok {
		lo.over(rq)
		return
	}
	rq.tried = append(rq.tried, up)
	rq.server = up.ID
	rq.vm.tb.Begin(lo.now, usual, up.Process())
	if lo.bounded && rq.vm.busy[up.ID] >= rq.vm.window[up.ID] {
		rq.waits = true
		rq.vm.line[up.ID].Push(0, rq)
		lo.after(moveAfter, func() { lo.move(rq) })
		return
	}
	lo.send(rq)
}

// move takes a request that still waits to another server.
func (lo *load) move(rq *simRequest) {
	if !rq.waits || !rq.vm.line[rq.server].Remove(rq) {
		return
	}
	rq.waits = false
	rq.vm.tb.Withdraw(lo.now, process(rq.server), moveAfter)
	lo.place(rq)
}

func (lo *load) send(rq *simRequest) {
	rq.waits = false
	rq.sent = lo.now
	rq.vm.busy[rq.server]++
	sv := lo.servers[rq.server]
	switch {
	case sv.running < slots:
		lo.start(sv, rq)
	case len(sv.waiting) < queueMost:
		sv.waiting = append(sv.waiting, rq)
	default:
		lo.done(rq, fanout.Refused)
	}
}

func (lo *load) start(sv *simServer, rq *simRequest) {
	sv.running++
	work := float64(usual) * math.Exp(0.35*lo.rnd.NormFloat64()) * sv.times
	lo.after(time.Duration(work), func() {
		sv.running--
		if len(sv.waiting) > 0 {
			next := sv.waiting[0]
			sv.waiting = sv.waiting[1:]
			lo.start(sv, next)
		}
		lo.done(rq, fanout.Served)
	})
}

func (lo *load) done(rq *simRequest, ve fanout.Verdict) {
	vm := rq.vm
	vm.busy[rq.server]--
	window := vm.tb.End(lo.now, process(rq.server), steer.Attempt{Verdict: ve, Took: lo.now - rq.sent, Usual: usual})
	vm.window[rq.server] = window
	if ve == fanout.Served && lo.now-rq.began <= target {
		lo.inTime++
	}
	lo.over(rq)
	for vm.busy[rq.server] < window {
		next, ok := vm.line[rq.server].Pop()
		if !ok {
			return
		}
		lo.send(next)
	}
}

func (lo *load) over(rq *simRequest) {
	if !rq.over {
		rq.over = true
		lo.finished++
	}
}

// A shard has one sound server left, and a sixth more comes than it can take.
// Without windows its own queue fills up, each answer is late, and callers get
// nothing in time though the server works without a pause. With them the queue
// stays short, and most of what it can take is answered in time.
func TestOverloadAnswersInTime(t *testing.T) {
	is := is.New(t)
	without, with := playLoad(false), playLoad(true)
	t.Logf("in time without windows %d of %d, with %d of %d", without.inTime, without.finished, with.inTime, with.finished)
	is.True(with.inTime*2 > with.finished)
	is.True(with.inTime*10 > without.inTime*13)
}
