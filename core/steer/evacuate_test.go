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

// What follows replays the load of a service with a server in each of three data centres, of
// which one is evacuated for ten seconds: the other two bear it all. When it is taken back, its
// server is cold and takes 1.6 times as long for some seconds.
const (
	evacuateAt = 5 * time.Second
	returnAt   = 15 * time.Second
	warmAt     = 18 * time.Second
	emptyUntil = 25 * time.Second
	coldTimes  = 1.6
	// spreadMost is how long a VM takes at most to hear of it.
	spreadMost = 400 * ms
	// emptySlots and emptyRate: three servers are at 0.63 of what they bear, two at 0.95.
	emptySlots  = 6
	emptyRate   = 0.63
	emptyTarget = 4 * usual
)

// emptying is one play.
type emptying struct {
	rnd     *rand.Rand
	agenda  agenda
	now     time.Duration
	running map[string]int
	waiting map[string][]func()
	vms     []*emptyVM
	// inTime and all count requests by the second in which they began.
	inTime, all [30]int
	// late counts what reached the evacuated server after all VMs had heard.
	late int
}

type emptyVM struct {
	tb   *steer.Table
	hear time.Duration
}

func (em *emptying) after(wait time.Duration, do func()) {
	heap.Push(&em.agenda, entry{at: em.now + wait, seq: len(em.agenda), do: do})
}

// servers are as a VM knows them.
func (em *emptying) servers(vm *emptyVM) []*origin.Upstream {
	var ups []*origin.Upstream
	for _, place := range []string{"a", "b", "c"} {
		up := &origin.Upstream{ID: place, DataCentre: place}
		if place == "c" && em.now >= evacuateAt+vm.hear && em.now < returnAt+vm.hear {
			up = up.WithEvacuated()
		}
		ups = append(ups, up)
	}
	return ups
}

func (em *emptying) arrive() {
	if em.now > emptyUntil {
		return
	}
	vm, began := em.vms[em.rnd.IntN(len(em.vms))], em.now
	em.all[int(began/time.Second)]++
	up, ok := vm.tb.Pick(em.now, steer.Kind{Usual: usual}, em.servers(vm), nil, em.rnd.Float64)
	if ok {
		vm.tb.Begin(em.now, usual, up.Process())
		em.send(up.ID, func() {
			vm.tb.End(em.now, up.Process(), steer.Attempt{Verdict: fanout.Served, Took: em.now - began, Usual: usual})
			if em.now-began <= emptyTarget {
				em.inTime[int(began/time.Second)]++
			}
		})
	}
	perSecond := emptyRate * 3 * emptySlots / (usual.Seconds() * math.Exp(0.35*0.35/2))
	em.after(time.Duration(em.rnd.ExpFloat64()/perSecond*float64(time.Second)), em.arrive)
}

func (em *emptying) send(server string, done func()) {
	if server == "c" && em.now > evacuateAt+spreadMost && em.now < returnAt {
		em.late++
	}
	if em.running[server] >= emptySlots {
		em.waiting[server] = append(em.waiting[server], done)
		return
	}
	em.running[server]++
	work := float64(usual) * math.Exp(0.35*em.rnd.NormFloat64())
	if server == "c" && em.now >= returnAt && em.now < warmAt {
		work *= coldTimes
	}
	em.after(time.Duration(work), func() {
		em.running[server]--
		done()
		if next := em.waiting[server]; len(next) > 0 {
			em.waiting[server] = next[1:]
			em.send(server, next[0])
		}
	})
}

// share is that of the requests of some seconds that were answered in time.
func (em *emptying) share(from, to int) float64 {
	inTime, all := 0, 0
	for second := from; second < to; second++ {
		inTime += em.inTime[second]
		all += em.all[second]
	}
	return float64(inTime) / float64(all)
}

// A data centre of three is evacuated, and taken back cold. As many requests as before go to two
// servers; callers must hardly see it, neither then nor when the third one is back.
func TestEvacuationIsBorneElsewhere(t *testing.T) {
	is := is.New(t)
	em := &emptying{rnd: rand.New(rand.NewPCG(loadSeed, 3)), now: time.Second, running: map[string]int{}, waiting: map[string][]func(){}}
	for i := range vms {
		em.vms = append(em.vms, &emptyVM{
			tb:   steer.New(steer.Config{DataCentre: []string{"a", "b", "c"}[i%3]}),
			hear: time.Duration(em.rnd.Int64N(int64(spreadMost))),
		})
	}
	em.after(0, em.arrive)
	for len(em.agenda) > 0 {
		next := heap.Pop(&em.agenda).(entry)
		em.now = next.at
		next.do()
	}
	before, emptied, back, after := em.share(1, 5), em.share(5, 15), em.share(15, 18), em.share(18, 25)
	t.Logf("answered in time: %.3f before, %.3f while evacuated, %.3f while it warms up, %.3f after", before, emptied, back, after)
	is.Equal(em.late, 0)
	is.True(before > 0.99)
	is.True(emptied > 0.92)
	is.True(back > 0.98)
	is.True(after > 0.98)
}
