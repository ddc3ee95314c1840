package warm_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/warm"
)

const openCost = 6 * ms

// storm is one server with a limit on its connections, and the VMs that want
// them, in virtual time.
type storm struct {
	limit int
	// gated VMs ask the gate; others dial whatever they lack, at once.
	gated bool
	vms   []*dialler
	now   time.Duration
	// attempts counts what reached the server, by second since its return.
	attempts []int
	refused  int
	most     int
}

type dialler struct {
	ga      *warm.Gate
	want    int
	open    int
	opening []time.Duration
}

func newStorm(vms, want, limit int, gated bool) *storm {
	so := &storm{limit: limit, gated: gated, attempts: make([]int, 60)}
	for i := range vms {
		ga := warm.New(warm.Config{Limit: want, Floor: want, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		so.vms = append(so.vms, &dialler{ga: ga, want: want})
	}
	return so
}

func (so *storm) run(until time.Duration) {
	for ; so.now < until; so.now += ms {
		opening := 0
		for _, vm := range so.vms {
			so.finish(vm, up(so.now))
			so.start(vm)
			opening += len(vm.opening)
		}
		so.most = max(so.most, opening)
	}
}

func (so *storm) start(vm *dialler) {
	for vm.open+len(vm.opening) < vm.want {
		if so.gated {
			if !vm.ga.MayOpen(so.now) {
				return
			}
			vm.ga.Begin()
		}
		vm.opening = append(vm.opening, so.now+openCost)
		so.attempts[so.now/time.Second]++
	}
}

func (so *storm) finish(vm *dialler, up bool) {
	for len(vm.opening) > 0 && vm.opening[0] <= so.now {
		vm.opening = vm.opening[1:]
		ok := up && so.open() < so.limit
		if ok {
			vm.open++
		}
		if up && !ok {
			so.refused++
		}
		if !so.gated {
			continue
		}
		switch {
		case ok:
			vm.ga.Opened()
		case up:
			vm.ga.Failed(so.now, warm.FaultRefused)
		default:
			vm.ga.Failed(so.now, warm.FaultDial)
		}
	}
}

func (so *storm) open() int {
	sum := 0
	for _, vm := range so.vms {
		sum += vm.open
	}
	return sum
}

// away is how long the server is away at first.
const away = 10 * time.Second

func up(now time.Duration) bool { return now >= away }

// A server with 25 connections comes back after ten seconds; nine VMs want
// three each, two more than there are. Each VM asks at most once in a while,
// the limit is filled within two seconds, and the two that are refused do not
// ask on and on.
func TestServerReturns(t *testing.T) {
	is := is.New(t)
	so := newStorm(9, 3, 25, true)
	so.run(40 * time.Second)
	is.Equal(so.open(), 25)
	is.True(so.most <= 9*warm.DefaultMostAtOnce)
	for _, n := range so.attempts[15:] {
		is.True(n <= 9) // of nine VMs two at a time are refused, and wait longer each time
	}
}

// The same at the size of an entry for 36 VMs, against VMs that dial whatever
// they lack: attempts in the worst second, refusals, and the time until the
// connections are all in use again.
func BenchmarkServerReturns(b *testing.B) {
	for _, vms := range []int{9, 36} {
		for _, gated := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/gated=%v", vms, gated), func(b *testing.B) {
				var so *storm
				full := time.Duration(0)
				for b.Loop() {
					so = newStorm(vms, 3, 25, gated)
					so.run(away)
					for full = away; so.open() < 25 && full < 20*time.Second; full += ms {
						so.run(full)
					}
					so.run(20 * time.Second)
				}
				worst := 0
				for _, n := range so.attempts {
					worst = max(worst, n)
				}
				b.ReportMetric(float64(worst), "attempts/worst-s")
				b.ReportMetric(float64(so.attempts[19]), "attempts/last-s")
				b.ReportMetric(float64(so.most), "opening-at-once")
				b.ReportMetric(float64(so.refused), "refused")
				b.ReportMetric(float64((full-away)/ms), "full-after-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
