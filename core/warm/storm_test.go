package warm_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/warm"
)

const dialTime = 6 * ms

// storm simulates, in virtual time, one server with a limit on its connections and the VMs that want
// to connect to it.
type storm struct {
	limit int
	// gated makes the VMs ask the gate; otherwise each one dials all missing connections at once.
	gated bool
	vms   []*dialer
	now   time.Duration
	// attempts counts the attempts per second.
	attempts    []int
	refused     int
	peakOpening int
}

type dialer struct {
	ga      *warm.Gate
	want    int
	open    int
	opening []time.Duration
}

func newStorm(vms, want, limit int, gated bool) *storm {
	so := &storm{limit: limit, gated: gated, attempts: make([]int, 60)}
	for i := range vms {
		ga := warm.New(warm.Config{Limit: want, Floor: want, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		so.vms = append(so.vms, &dialer{ga: ga, want: want})
	}
	return so
}

func (so *storm) run(until time.Duration) {
	for ; so.now < until; so.now += ms {
		opening := 0
		for _, vm := range so.vms {
			so.finish(vm, isUp(so.now))
			so.start(vm)
			opening += len(vm.opening)
		}
		so.peakOpening = max(so.peakOpening, opening)
	}
}

func (so *storm) start(vm *dialer) {
	for vm.open+len(vm.opening) < vm.want {
		if so.gated {
			if !vm.ga.MayOpen(so.now) {
				return
			}
			vm.ga.Begin()
		}
		vm.opening = append(vm.opening, so.now+dialTime)
		so.attempts[so.now/time.Second]++
	}
}

func (so *storm) finish(vm *dialer, serverUp bool) {
	for len(vm.opening) > 0 && vm.opening[0] <= so.now {
		vm.opening = vm.opening[1:]
		ok := serverUp && so.open() < so.limit
		if ok {
			vm.open++
		}
		if serverUp && !ok {
			so.refused++
		}
		if !so.gated {
			continue
		}
		switch {
		case ok:
			vm.ga.Opened()
		case serverUp:
			vm.ga.Failed(so.now, warm.FaultRefused)
		default:
			vm.ga.Failed(so.now, warm.FaultDial)
		}
	}
}

func (so *storm) open() int {
	total := 0
	for _, vm := range so.vms {
		total += vm.open
	}
	return total
}

// outage is how long the server is down at first.
const outage = 10 * time.Second

func isUp(now time.Duration) bool { return now >= outage }

// Guards against a burst of attempts when a server comes back, here after ten seconds. It accepts 25
// connections, and nine VMs want three each, two more than that. The limit must be used again, the
// attempts in progress must stay within the gates' bound, and the two VMs that are refused must not
// retry in a loop.
func TestServerReturns(t *testing.T) {
	is := is.New(t)
	so := newStorm(9, 3, 25, true)
	so.run(40 * time.Second)
	is.Equal(so.open(), 25)
	is.True(so.peakOpening <= 9*warm.DefaultMaxOpening)
	for _, n := range so.attempts[15:] {
		is.True(n <= 9) // at any time two of nine VMs are refused, with growing waits
	}
}

// BenchmarkServerReturns compares the gate with VMs that dial all missing connections at once, for
// the same server and up to 36 VMs: attempts in the worst second, refusals, and the time until all
// connections are in use again.
func BenchmarkServerReturns(b *testing.B) {
	for _, vms := range []int{9, 36} {
		for _, gated := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/gated=%v", vms, gated), func(b *testing.B) {
				var so *storm
				fullAt := time.Duration(0)
				for b.Loop() {
					so = newStorm(vms, 3, 25, gated)
					so.run(outage)
					for fullAt = outage; so.open() < 25 && fullAt < 20*time.Second; fullAt += ms {
						so.run(fullAt)
					}
					so.run(20 * time.Second)
				}
				worst := 0
				for _, n := range so.attempts {
					worst = max(worst, n)
				}
				b.ReportMetric(float64(worst), "attempts/worst-s")
				b.ReportMetric(float64(so.attempts[19]), "attempts/last-s")
				b.ReportMetric(float64(so.peakOpening), "opening-at-once")
				b.ReportMetric(float64(so.refused), "refused")
				b.ReportMetric(float64((fullAt-outage)/ms), "full-after-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
