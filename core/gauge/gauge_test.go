package gauge_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/gauge"
)

const (
	ms    = time.Millisecond
	cores = 0.8
	work  = 4 * ms
)

// run has a VM run the given number of requests a second for two seconds.
func run(ga *gauge.Gauge, perSecond int) {
	cpu, now := time.Duration(0), time.Second
	ga.Observe(now, cpu)
	for range 8 {
		for range perSecond / 4 {
			ga.Begin()()
			cpu += work
		}
		now += 250 * ms
		ga.Observe(now, cpu)
	}
}

// A VM at the end of its processor time has to tell the others a wait that keeps requests away. At
// half of its load it must not, or requests would leave its data centre without need.
func TestWaitFollowsLoad(t *testing.T) {
	cases := []struct {
		name      string
		perSecond int
		load      float64
		least     time.Duration
		most      time.Duration
	}{
		{"idle", 0, 0, 0, 0},
		{"half", 100, 0.5, 1 * ms, 4 * ms},
		{"nine tenths", 180, 0.9, 17 * ms, 30 * ms},
		{"full", 200, 1, 40 * ms, 60 * ms},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ga := gauge.New(gauge.Config{Cores: cores})
			run(ga, tc.perSecond)
			rp := ga.Report()
			is.True(rp.Load >= tc.load-0.02 && rp.Load <= tc.load+0.02)
			is.True(rp.Wait >= tc.least && rp.Wait <= tc.most)
		})
	}
}

// Requests that wait for slow servers use no processor time. A VM that has many of them is not
// busy, and its requests must not be sent elsewhere.
func TestRequestsThatWaitForServersAreNoLoad(t *testing.T) {
	is := is.New(t)
	ga := gauge.New(gauge.Config{Cores: cores})
	for range 50 {
		defer ga.Begin()()
	}
	run(ga, 8)
	is.True(ga.Report().Wait < 10*ms)
}

// A burst between two observations shows at once.
func TestBurst(t *testing.T) {
	is := is.New(t)
	ga := gauge.New(gauge.Config{Cores: cores})
	run(ga, 100)
	before := ga.Report().Wait
	for range 20 {
		defer ga.Begin()()
	}
	is.True(ga.Report().Wait > before+40*ms)
}

// Without the VM's capacity nothing is known of its load.
func TestUnknownCapacity(t *testing.T) {
	ga := gauge.New(gauge.Config{})
	run(ga, 100)
	is.New(t).Equal(ga.Report(), gauge.Report{})
}
