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
	"laburnumvane/core/steer"
)

// The simulation below loads a service with one server in each of three data centres, of which
// one is evacuated for ten seconds: the other two take over its load. When it is reinstated, its
// server is cold and takes 1.6 times as long for some seconds.
const (
	evacuateAt  = 5 * time.Second
	reinstateAt = 15 * time.Second
	warmAt      = 18 * time.Second
	evacSimEnd  = 25 * time.Second
	coldFactor  = 1.6
	// maxPropagation is how long it takes at most until a VM learns of the change.
	maxPropagation = 400 * ms
	// With evacSlots and evacUtilization, three servers run at 0.63 of their capacity, two at
	// 0.95.
	evacSlots       = 6
	evacUtilization = 0.63
	evacTarget      = 4 * usual
)

// evacSim is one simulation run.
type evacSim struct {
	rnd     *rand.Rand
	events  eventQueue
	now     time.Duration
	running map[string]int
	waiting map[string][]func()
	vms     []*evacVM
	// inTime and total count requests by the second in which they arrived.
	inTime, total [30]int
	// late counts requests to the evacuated server after all VMs had learned of it.
	late int
}

type evacVM struct {
	tb          *steer.Table
	learnsAfter time.Duration
}

func (sm *evacSim) schedule(wait time.Duration, run func()) {
	heap.Push(&sm.events, simEvent{at: sm.now + wait, seq: len(sm.events), run: run})
}

// servers returns the servers as a VM sees them.
func (sm *evacSim) servers(vm *evacVM) []*origin.Upstream {
	var ups []*origin.Upstream
	for _, dataCentre := range []string{"a", "b", "c"} {
		up := &origin.Upstream{ID: dataCentre, DataCentre: dataCentre}
		if dataCentre == "c" && sm.now >= evacuateAt+vm.learnsAfter && sm.now < reinstateAt+vm.learnsAfter {
			up = up.WithEvacuated()
		}
		ups = append(ups, up)
	}
	return ups
}

func (sm *evacSim) arrive() {
	if sm.now > evacSimEnd {
		return
	}
	vm, arrived := sm.vms[sm.rnd.IntN(len(sm.vms))], sm.now
	sm.total[int(arrived/time.Second)]++
	up, ok := vm.tb.Pick(sm.now, steer.RequestKind{UsualLatency: usual}, sm.servers(vm), nil, sm.rnd.Float64)
	if ok {
		vm.tb.Begin(sm.now, usual, up.Process())
		sm.send(up.ID, func() {
			vm.tb.End(sm.now, up.Process(), steer.Result{Verdict: fanout.Served, Latency: sm.now - arrived, UsualLatency: usual})
			if sm.now-arrived <= evacTarget {
				sm.inTime[int(arrived/time.Second)]++
			}
		})
	}
	perSecond := evacUtilization * 3 * evacSlots / (usual.Seconds() * math.Exp(0.35*0.35/2))
	sm.schedule(time.Duration(sm.rnd.ExpFloat64()/perSecond*float64(time.Second)), sm.arrive)
}

func (sm *evacSim) send(server string, done func()) {
	if server == "c" && sm.now > evacuateAt+maxPropagation && sm.now < reinstateAt {
		sm.late++
	}
	if sm.running[server] >= evacSlots {
		sm.waiting[server] = append(sm.waiting[server], done)
		return
	}
	sm.running[server]++
	work := float64(usual) * math.Exp(0.35*sm.rnd.NormFloat64())
	if server == "c" && sm.now >= reinstateAt && sm.now < warmAt {
		work *= coldFactor
	}
	sm.schedule(time.Duration(work), func() {
		sm.running[server]--
		done()
		if next := sm.waiting[server]; len(next) > 0 {
			sm.waiting[server] = next[1:]
			sm.send(server, next[0])
		}
	})
}

// inTimeShare returns the share of the requests of the given seconds that were answered in time.
func (sm *evacSim) inTimeShare(from, to int) float64 {
	inTime, total := 0, 0
	for second := from; second < to; second++ {
		inTime += sm.inTime[second]
		total += sm.total[second]
	}
	return float64(inTime) / float64(total)
}

// One of three data centres is evacuated, and reinstated cold. The same load goes to two servers;
// nearly all requests must be answered in time, both then and after the third server is back.
func TestEvacuationKeepsRequestsInTime(t *testing.T) {
	is := is.New(t)
	sm := &evacSim{rnd: rand.New(rand.NewPCG(simSeed, 3)), now: time.Second, running: map[string]int{}, waiting: map[string][]func(){}}
	for i := range vms {
		sm.vms = append(sm.vms, &evacVM{
			tb:          steer.New(steer.Config{DataCentre: []string{"a", "b", "c"}[i%3]}),
			learnsAfter: time.Duration(sm.rnd.Int64N(int64(maxPropagation))),
		})
	}
	sm.schedule(0, sm.arrive)
	for len(sm.events) > 0 {
		next := heap.Pop(&sm.events).(simEvent)
		sm.now = next.at
		next.run()
	}
	before, evacuated, back, after := sm.inTimeShare(1, 5), sm.inTimeShare(5, 15), sm.inTimeShare(15, 18), sm.inTimeShare(18, 25)
	t.Logf("answered in time: %.3f before, %.3f while evacuated, %.3f while it warms up, %.3f after", before, evacuated, back, after)
	is.Equal(sm.late, 0)
	is.True(before > 0.99)
	is.True(evacuated > 0.92)
	is.True(back > 0.98)
	is.True(after > 0.98)
}
