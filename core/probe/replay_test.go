package probe_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/probe"
)

// Large VMs that do not answer are found by one request of each caller and cost it little: with
// the former constants a request hung for a second at each VM that was tried.
func TestReplayOfSilentVMs(t *testing.T) {
	cases := []struct {
		name string
		fa   fault
		// maxBad is the largest share of late and lost requests.
		maxBad float64
	}{
		{"a third of all VMs cut off for 12 s", fault{until: faultAt + 12*time.Second, cut: []int{0, 4}, cutCallers: true, frozen: none, dead: none, busy: none}, 0.01},
		{"both large VMs of a data centre without power", fault{until: faultAt + 12*time.Second, cut: []int{0, 3}, frozen: none, dead: none, busy: none}, 0.01},
		{"VM frozen for 3 s", fault{until: faultAt + 3*time.Second, frozen: 0, dead: none, busy: none}, 0.01},
		{"VM dies and restarts after 2 s", fault{until: faultAt + 2*time.Second, frozen: none, dead: 0, busy: none}, 0.01},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now, before := runReplay(tc.fa, probe.DefaultLimits()), runReplay(tc.fa, oldLimits())
			for _, re := range []*replay{now, before} {
				t.Logf("%d requests, %d late or lost, %d lost", re.during, re.bad, re.lost)
			}
			is.True(float64(now.bad) <= tc.maxBad*float64(now.during))
			is.True(float64(before.bad) > tc.maxBad*float64(before.during))
		})
	}
}

// A VM that is ten times as slow answers its probes late. It is alive: if all callers abandoned it
// at once, the others would get its load, become slow and be abandoned as well.
func TestReplayOfBusyVM(t *testing.T) {
	is := is.New(t)
	re := runReplay(fault{until: faultAt + 10*time.Second, frozen: none, dead: none, busy: 0}, probe.DefaultLimits())
	t.Logf("%d requests, %d late or lost, %d lost; the busy VM was avoided %d times and got %d", re.during, re.bad, re.lost, re.avoided, re.used)
	is.Equal(re.lost, 0)
	is.Equal(re.avoided, 0)
	is.True(re.used > 20)
}
