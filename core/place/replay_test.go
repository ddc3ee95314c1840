package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/gauge"
	"laburnumvane/core/origin"
	"laburnumvane/core/place"
	"laburnumvane/core/steer"
	"laburnumvane/internal/vtime"
)

// The replay below sends the requests of 60 small VMs in three data centres to six large VMs, in
// virtual time. A large VM runs its requests one after the other on 0.8 of a core.
const (
	ms          = time.Millisecond
	seeds       = 2
	callers     = 60
	dataCentres = 3
	largeVMs    = 6
	cores       = 0.8
	work        = 4 * ms // of processor time
	serverTime  = 20 * ms
	usual       = 26 * ms
	ownTime     = 50 * ms // on a small VM
	remoteTrip  = 2 * ms
	observeEach = 250 * ms
	replayEnd   = 12 * time.Second
	settled     = 5 * time.Second
	lateAfter   = 120 * ms
	binWidth    = time.Second
)

// largeVM is one large VM; slowness divides its speed.
type largeVM struct {
	up       *origin.Upstream
	slowness float64
	freeAt   time.Duration
	cpu      time.Duration
	ga       *gauge.Gauge
	// bins counts the requests that it got in each second.
	bins [int(replayEnd / binWidth)]int
}

type caller struct {
	dc      int
	table   *steer.Table
	place   *place.Table
	ownBusy int
}

type replay struct {
	now    time.Duration
	rnd    *rand.Rand
	agenda vtime.Agenda[func()]
	vms    []*largeVM
	// chooses is set if the callers use a place.Table.
	chooses                  bool
	total, late, remote, own int
}

func (re *replay) after(wait time.Duration, run func()) {
	re.agenda.After(wait, run)
}

func (re *replay) choose(ca *caller) int {
	ki := steer.RequestKind{UsualLatency: usual}
	var ups []*origin.Upstream
	var targets []place.Target
	for _, vm := range re.vms {
		cost, base, _ := ca.table.Cost(re.now, ki, vm.up)
		targets = append(targets, place.Target{Addr: vm.up.Addr, Local: vm.up.DataCentre == fmt.Sprint(ca.dc), Cost: cost, Base: base})
		ups = append(ups, vm.up)
	}
	if re.chooses && ca.place.Busy(re.now) {
		own := ownTime * time.Duration(1+ca.ownBusy)
		choice, _ := ca.place.Choose(re.now, targets, own+usual, re.rnd.Float64)
		return choice
	}
	up, ok := ca.table.Pick(re.now, ki, ups, nil, re.rnd.Float64)
	if !ok {
		return place.Self
	}
	return slices.Index(ups, up)
}

func (re *replay) arrive(ca *caller, perSecond float64) {
	if re.now >= replayEnd {
		return
	}
	re.after(time.Duration(re.rnd.ExpFloat64()/perSecond*float64(time.Second)), func() { re.arrive(ca, perSecond) })
	k, began := re.choose(ca), re.now
	if k == place.Self {
		ca.ownBusy++
		re.after(ownTime*time.Duration(ca.ownBusy)+serverTime, func() {
			ca.ownBusy--
			re.finish(began, false, true)
		})
		return
	}
	vm := re.vms[k]
	remote := vm.up.DataCentre != fmt.Sprint(ca.dc)
	trip := ms / 5
	if remote {
		trip = remoteTrip
	}
	ca.table.Begin(re.now, usual, vm.up.Process())
	vm.bins[int(re.now/binWidth)]++
	end := vm.ga.Begin()
	takes := time.Duration(float64(work) / cores * vm.slowness * (0.7 + 0.6*re.rnd.Float64()))
	vm.freeAt = max(vm.freeAt, re.now) + takes
	re.after(vm.freeAt-re.now+serverTime+trip, func() {
		end()
		vm.cpu += time.Duration(float64(work) * vm.slowness)
		rp := vm.ga.Report()
		took := re.now - began
		ca.table.End(re.now, vm.up.Process(), steer.Result{Verdict: fanout.Served, Latency: took, UsualLatency: usual})
		ca.place.Report(re.now, vm.up.Addr, place.Load{Wait: rp.Wait})
		re.finish(began, remote, false)
	})
}

func (re *replay) finish(began time.Duration, remote, own bool) {
	if began < settled {
		return
	}
	re.total++
	if re.now-began > lateAfter {
		re.late++
	}
	if remote {
		re.remote++
	}
	if own {
		re.own++
	}
}

func (re *replay) observe(vm *largeVM) {
	if re.now < replayEnd {
		vm.ga.Observe(re.now, vm.cpu)
		re.after(observeEach, func() { re.observe(vm) })
	}
}

// load describes a replay.
type load struct {
	perSecond float64
	// share is the part of the requests that arrive in the first data centre; slowness is that of
	// the first large VM.
	share    float64
	slowness float64
}

func runReplay(seed uint64, lo load, chooses bool) *replay {
	re := &replay{now: time.Second, rnd: rand.New(rand.NewPCG(seed, 2)), chooses: chooses}
	re.agenda.Next(re.now)
	for k := range largeVMs {
		vm := &largeVM{up: &origin.Upstream{ID: fmt.Sprint(k), Addr: fmt.Sprint(k), DataCentre: fmt.Sprint(k % dataCentres)}, slowness: 1, ga: gauge.New(gauge.Config{Cores: cores})}
		if k == 0 {
			vm.slowness = lo.slowness
		}
		re.vms = append(re.vms, vm)
		re.observe(vm)
	}
	perDataCentre := float64(callers / dataCentres)
	for k := range callers {
		ca := &caller{dc: k % dataCentres, table: steer.New(steer.Config{DataCentre: fmt.Sprint(k % dataCentres)}), place: place.New(place.Config{})}
		rate := lo.perSecond * (1 - lo.share) / (dataCentres - 1) / perDataCentre
		if ca.dc == 0 {
			rate = lo.perSecond * lo.share / perDataCentre
		}
		re.after(time.Duration(re.rnd.Int64N(int64(time.Second))), func() { re.arrive(ca, rate) })
	}
	for run := range re.agenda.Until(math.MaxInt64) {
		re.now = re.agenda.Now()
		run()
	}
	return re
}

// swing returns the ratio of the most to the fewest requests that the large VM got in a second, and
// the mean.
func (vm *largeVM) swing() (most, fewest int, mean float64) {
	bins := vm.bins[int(settled/binWidth):]
	total := 0
	for _, n := range bins {
		total += n
	}
	return slices.Max(bins), slices.Min(bins), float64(total) / float64(len(bins))
}

// Large VMs are not equally fast or not equally used. The reports must move load to where there is
// room without swinging: if all VMs followed the newest report, they would move together. If the
// large VMs are overloaded, the small ones run requests themselves instead of queueing there.
func TestReplayOfUnevenLoad(t *testing.T) {
	cases := []struct {
		name string
		lo   load
		// maxLate and maxRemote are shares of all requests. oldFails is set if choosing by observed
		// latency alone exceeds maxLate.
		maxLate, maxRemote float64
		oldFails           bool
	}{
		{"even", load{perSecond: 400, share: 1.0 / 3, slowness: 1}, 0, 0, false},
		{"one of six at a third of its speed", load{perSecond: 600, share: 1.0 / 3, slowness: 3}, 0.005, 0.01, false},
		{"one at a third of its speed, nearly full", load{perSecond: 950, share: 1.0 / 3, slowness: 3}, 0.02, 0.2, false},
		{"two thirds in one data centre", load{perSecond: 600, share: 2.0 / 3, slowness: 1}, 0.001, 0.1, false},
		{"1.2 times the capacity", load{perSecond: 1440, share: 1.0 / 3, slowness: 1}, 0.06, 0.2, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var lateShare [2]float64
			for k, chooses := range []bool{false, true} {
				late, total, remote, own := 0, 0, 0, 0
				for seed := range uint64(seeds) {
					re := runReplay(seed, tc.lo, chooses)
					late, total, remote, own = late+re.late, total+re.total, remote+re.remote, own+re.own
					for _, vm := range re.vms {
						most, fewest, mean := vm.swing()
						is.True(!chooses || float64(most) < 1.5*mean && float64(fewest) > 0.5*mean)
					}
				}
				t.Logf("chooses %v: %d requests, %d late, %d in another data centre, %d here", chooses, total, late, remote, own)
				lateShare[k] = float64(late) / float64(total)
				is.True(!chooses || float64(remote) <= tc.maxRemote*float64(total))
			}
			is.True(lateShare[1] <= tc.maxLate)
			is.Equal(lateShare[0] > tc.maxLate, tc.oldFails)
		})
	}
}
