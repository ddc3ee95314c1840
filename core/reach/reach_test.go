package reach_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/reach"
)

const (
	ms = time.Millisecond
	// tick is the interval between calls of Update.
	tick = 250 * ms
)

// simVM is a simulated VM. It gets forty requests a second unless perTick is changed.
type simVM struct {
	detector *reach.Detector
	now      time.Duration
	requests int64
	unserved int64
	// perTick is the number of requests per tick.
	perTick   int64
	lacking   bool
	lastHeard time.Duration
}

// run simulates a period in which a share of the requests is not served. hears is whether
// messages from outside the data centre arrive. It returns when the VM first counted as cut
// off, or -1.
func (v *simVM) run(length time.Duration, unserved float64, hears bool) time.Duration {
	found := time.Duration(-1)
	for end := v.now + length; v.now < end; v.now += tick {
		v.requests += v.perTick
		v.unserved += int64(unserved * float64(v.perTick))
		if hears {
			v.lastHeard = v.now
		}
		if v.detector.Update(v.now, reach.Observation{Silence: v.now - v.lastHeard, Requests: v.requests, Unserved: v.unserved, LocalInsufficient: v.lacking}) && found < 0 {
			found = v.now
		}
	}
	return found
}

func newSimVM() *simVM { return &simVM{detector: reach.New(reach.Config{}), perTick: 10} }

// A data centre is cut off while its clients still reach it. In the first second their
// requests run into deadlines or are refused for lack of capacity. The cut must be detected
// by then, not only when the remote servers are considered down.
func TestCutOffWithFailingRequests(t *testing.T) {
	is := is.New(t)
	v := newSimVM()
	is.Equal(v.run(10*time.Second, 0, true), time.Duration(-1))
	cutAt := v.now
	found := v.run(3*time.Second, 0.7, false)
	is.True(found >= 0)
	is.True(found-cutAt <= 1250*ms)
	// Messages from outside arrive again.
	is.Equal(v.run(time.Second, 0.7, true), time.Duration(-1))
}

// The same for a VM that gets no requests and whose shards have servers in other data centres
// only. While its health check succeeds the balancer keeps all clients in the data centre,
// whatever the other VMs report.
func TestCutOffWithoutRequests(t *testing.T) {
	is := is.New(t)
	v := newSimVM()
	v.perTick, v.lacking = 0, true
	is.Equal(v.run(10*time.Second, 0, true), time.Duration(-1))
	cutAt := v.now
	found := v.run(3*time.Second, 0, false)
	is.True(found >= 0)
	is.True(found-cutAt <= 1750*ms)
}

// A small VM gets four requests a second. The decision must not wait for more of them.
func TestCutOffWithFewRequests(t *testing.T) {
	is := is.New(t)
	v := newSimVM()
	v.perTick = 1
	is.Equal(v.run(10*time.Second, 0, true), time.Duration(-1))
	cutAt := v.now
	found := v.run(3*time.Second, 1, false)
	is.True(found >= 0)
	is.True(found-cutAt <= 1250*ms)
}

func TestNotCutOff(t *testing.T) {
	cases := []struct {
		name     string
		unserved float64
		hears    bool
	}{
		{"servers at fault, others heard", 0.9, true},
		{"silence, all requests served", 0, false},
		{"silence, few requests failing", 0.1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			v := newSimVM()
			is.Equal(v.run(20*time.Second, tc.unserved, tc.hears), time.Duration(-1))
		})
	}
}

// A data centre without servers of its own is cut off while requests arrive, and answers from
// servers elsewhere become overdue. Callers are refused until the balancer has taken the VM
// out of rotation, two health checks after detection; detecting the cut only after a second
// of silence would add that second for all of them.
func TestCutOffProvenByOverdueAnswers(t *testing.T) {
	cases := []struct {
		name string
		// everyMs is the interval between attempts in milliseconds.
		everyMs int
		// mute is set if VMs elsewhere did not answer probes.
		mute, lacking bool
		within        time.Duration
	}{
		{"many attempts", 10, true, true, 250 * ms},
		{"few attempts", 60, true, true, 400 * ms},
		{"two requests a second", 500, true, true, 1650 * ms},
		{"servers at fault, a VM there answers", 10, false, false, 0},
		{"local servers suffice", 10, true, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			de := reach.New(reach.Config{})
			found := time.Duration(0)
			for now := time.Duration(0); now < 1700*ms && found == 0; now += 50 * ms {
				ob := reach.Observation{Silence: now, Overdue: int(now/ms) / tc.everyMs, LocalInsufficient: tc.lacking}
				// Probes are sent once ShouldProbe is true and need some time.
				ob.ProbesFailed = tc.mute && de.ShouldProbe(reach.Observation{Silence: now - 50*ms, Overdue: ob.Overdue})
				if de.Update(now, ob) {
					found = now
				}
			}
			if tc.within == 0 {
				is.Equal(found, time.Duration(0))
				return
			}
			is.True(found > 0 && found <= tc.within)
			// The VM stays cut off until something is received, also when no further answers
			// become overdue.
			is.True(de.Update(found+50*ms, reach.Observation{Silence: found + 50*ms, LocalInsufficient: tc.lacking}))
			is.True(!de.Update(found+time.Second, reach.Observation{Silence: 20 * ms, LocalInsufficient: tc.lacking}))
		})
	}
}
