package warmup_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
	"laburnumvane/core/warmup"
)

// seeds is the number of runs of each simulated fleet; a higher number can be set by hand.
var seeds = flag.Int("seeds", 4, "runs of each simulated fleet")

const (
	step = 10 * ms
	// forgetAfter is how long a VM still counts after its entry was removed.
	forgetAfter = 20 * second
	// warmUpRate is the configured rate of the cold server.
	warmUpRate = 4
)

// simulation is a fleet whose VMs all have requests for one cold server. VMs receive updates
// late, fail, start, freeze and are cut off.
type simulation struct {
	rnd *rand.Rand
	now time.Duration
	// entries holds, by VM index, when each entry in the store was written.
	entries map[int]time.Duration
	vms     []*simVM
	// sent is when each request was sent to the cold server.
	sent []time.Duration
}

// simVM is one VM of a simulation.
type simVM struct {
	index    int
	vm       rank.VM
	capacity float64
	limiter  *warmup.Limiter
	running  bool
	// known are the VMs in its copy of the store, which is current as of asOf. forgetAt holds
	// when VMs whose entries were removed stop counting.
	known    map[int]bool
	forgetAt map[int]time.Duration
	asOf     time.Duration
	// nextUpdate is when its copy is updated next. The VM is frozen until frozenUntil.
	nextUpdate, frozenUntil time.Duration
	view                    *plan.View
}

func newSimulation(size int, uneven bool, seed uint64) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewPCG(seed, 7)), entries: map[int]time.Duration{}}
	for n := range size {
		capacity := 0.2
		if uneven && n%15 == 0 {
			capacity = 0.8
		}
		vm := &simVM{index: n, capacity: capacity, vm: rank.VM{Addr: fmt.Sprintf("10.0.%d.%d:1", n%3, n), DataCentre: fmt.Sprint(n % 3)}}
		sim.vms = append(sim.vms, vm)
		sim.entries[n] = 0
		sim.start(vm)
	}
	return sim
}

// start starts a VM, which gets its copy of the store up to half a second later.
func (sim *simulation) start(sv *simVM) {
	sv.running, sv.limiter, sv.view = true, warmup.New(), nil
	sv.known, sv.forgetAt = map[int]bool{}, map[int]time.Duration{}
	sv.asOf, sv.nextUpdate = sim.now, sim.now+sim.randomUpTo(500*ms)
}

func (sim *simulation) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(sim.rnd.Int64N(int64(most)))
}

// update gives a VM a copy of the store that is up to 800 ms old.
func (sim *simulation) update(sv *simVM) {
	sv.asOf = max(sv.asOf, sim.now-sim.randomUpTo(800*ms))
	changed := sv.view == nil
	for n, since := range sim.entries {
		if since <= sv.asOf && !sv.known[n] {
			sv.known[n], changed = true, true
			delete(sv.forgetAt, n)
		}
	}
	for n := range sv.known {
		if _, written := sim.entries[n]; !written {
			delete(sv.known, n)
			sv.forgetAt[n] = sim.now + forgetAfter
		}
	}
	for n, until := range sv.forgetAt {
		if sim.now >= until {
			delete(sv.forgetAt, n)
			changed = true
		}
	}
	if changed {
		sv.view = sim.viewOf(sv)
	}
}

func (sim *simulation) viewOf(sv *simVM) *plan.View {
	capacity := map[string]float64{sv.vm.Addr: sv.capacity}
	var fleet []rank.VM
	add := func(n int) {
		fleet = append(fleet, sim.vms[n].vm)
		capacity[sim.vms[n].vm.Addr] = sim.vms[n].capacity
	}
	for n := range sv.known {
		add(n)
	}
	for n := range sv.forgetAt {
		add(n)
	}
	routes := route.New(route.Config{Services: []route.Service{{Name: "s", WarmUp: time.Hour, WarmUpRate: warmUpRate}}})
	up := (&origin.Upstream{ID: "cold", Service: "s", DataCentre: "1"}).WithCold(0, time.Hour)
	return plan.New(plan.Config{
		Routes: routes, Upstreams: origin.New([]*origin.Upstream{up}), Self: sv.vm, Fleet: fleet, Capacity: capacity,
		WarmUp: warmup.Bounds{Overage: 1.5, Slack: 5},
	})
}

// injectFault occasionally makes a VM fail, freeze, start or lose its entry or updates.
func (sim *simulation) injectFault() {
	// On average one fault per VM every two seconds in a small fleet, and at most thirty a
	// second.
	if sim.rnd.Float64() >= min(0.3, float64(len(sim.vms))*float64(step)/float64(2*second)) {
		return
	}
	sv := sim.vms[sim.rnd.IntN(len(sim.vms))]
	switch sim.rnd.IntN(6) {
	case 0: // fails; its entry is removed later
		sv.running = false
	case 1: // gets no updates for a while
		sv.nextUpdate = sim.now + second + sim.randomUpTo(8*second)
	case 2:
		sv.frozenUntil = sim.now + sim.randomUpTo(4*second)
	case 3: // its entry is removed, whether it runs or not
		delete(sim.entries, sv.index)
	default:
		if !sv.running {
			sim.start(sv)
		}
	}
	if sim.rnd.IntN(400) == 0 { // all start at once
		for _, one := range sim.vms {
			sim.start(one)
		}
	}
	for _, one := range sim.vms {
		if _, written := sim.entries[one.index]; one.running && !written && sim.rnd.IntN(10) == 0 {
			sim.entries[one.index] = sim.now
		}
	}
}

// request has a VM send a request to the cold server or forward it to the owner. forwarded is
// set if another VM forwarded it, so that it is not forwarded again.
func (sim *simulation) request(sv *simVM, forwarded bool) {
	if !sv.running || sv.view == nil || sim.now < sv.frozenUntil {
		return
	}
	up, _ := sv.view.Upstreams().Find("cold")
	wa, bound := sv.view.Warming(sim.now, up)
	switch {
	case !bound:
		panic("the cold server has no bound")
	case wa.Self && sv.limiter.Allow(sim.now, up.Process(), wa.MaxPerSecond):
		sim.sent = append(sim.sent, sim.now)
	case wa.Self || forwarded:
	default:
		for _, one := range sim.vms {
			if one.vm.Addr == wa.Owner.Addr {
				sim.request(one, true)
			}
		}
	}
}

func (sim *simulation) run(until time.Duration) {
	for ; sim.now < until; sim.now += step {
		sim.injectFault()
		for _, sv := range sim.vms {
			if !sv.running || sim.now < sv.frozenUntil {
				continue
			}
			if sim.now >= sv.nextUpdate {
				sim.update(sv)
				sv.nextUpdate = sim.now + 50*ms + sim.randomUpTo(700*ms)
			}
			if sim.now%(250*ms) == 0 {
				sv.limiter.ObserveStore(sim.now, sim.now-sv.asOf, sv.known[sv.index])
			}
		}
		for range 3 {
			sim.request(sim.vms[sim.rnd.IntN(len(sim.vms))], false)
		}
	}
}

// All VMs of a fleet have requests for a server that can serve eleven within a second, while
// VMs receive updates late, fail, start, freeze and are cut off. A server that gets more
// crashes, is cold again after its restart, and crashes again.
func TestFleetStaysWithinWarmUpBound(t *testing.T) {
	const most, lasts = 11, 60 * second
	for _, tc := range []struct {
		size   int
		uneven bool
	}{{3, false}, {8, false}, {20, true}, {88, true}} {
		t.Run(fmt.Sprintf("%d VMs", tc.size), func(t *testing.T) {
			is := is.New(t)
			total := 0
			for seed := range *seeds {
				sim := newSimulation(tc.size, tc.uneven, uint64(seed))
				sim.run(lasts)
				total += len(sim.sent)
				for i, first := 0, 0; i < len(sim.sent); i++ {
					for sim.sent[i]-sim.sent[first] > second {
						first++
					}
					is.True(i-first+1 <= most) // more than the bound within one second
				}
			}
			used := float64(total) / float64(*seeds) / lasts.Seconds() / most
			t.Logf("used %.2f of the bound", used)
			is.True(used > 0.05) // allowing no requests would satisfy the bound too
		})
	}
}
