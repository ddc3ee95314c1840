package reach_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/reach"
)

const (
	ms = time.Millisecond
	// tick is how often a VM looks.
	tick = 250 * ms
)

// vm is one that gets forty requests a second, if nothing else is said.
type vm struct {
	ju    *reach.Judge
	now   time.Duration
	asked int64
	lost  int64
	// perTick is how many requests come from one look to the next.
	perTick int64
	lacking bool
	heard   time.Duration
}

// play lets time pass, with a share of the requests not served and others heard
// or not, and tells when the VM first took itself for cut off; -1 is never.
func (v *vm) play(length time.Duration, unserved float64, hears bool) time.Duration {
	found := time.Duration(-1)
	for end := v.now + length; v.now < end; v.now += tick {
		v.asked += v.perTick
		v.lost += int64(unserved * float64(v.perTick))
		if hears {
			v.heard = v.now
		}
		if v.ju.Look(v.now, reach.Sight{Silence: v.now - v.heard, Asked: v.asked, Unserved: v.lost, Lacking: v.lacking}) && found < 0 {
			found = v.now
		}
	}
	return found
}

func newVM() *vm { return &vm{ju: reach.New(reach.Config{}), perTick: 10} }

// A data centre is cut off while its clients still reach it. In the first second
// their requests end at deadlines, or are refused for want of room: callers must
// be sent elsewhere by then, not only when the far servers count as dark.
func TestCutOff(t *testing.T) {
	is := is.New(t)
	v := newVM()
	is.Equal(v.play(10*time.Second, 0, true), time.Duration(-1))
	cutAt := v.now
	found := v.play(3*time.Second, 0.7, false)
	is.True(found >= 0)
	is.True(found-cutAt <= 1250*ms)
	// It hears the others again.
	is.Equal(v.play(time.Second, 0.7, true), time.Duration(-1))
}

// The same, for a VM to which nobody sends anything for the moment. Its shards have
// servers on the other side only. While its check succeeds the balancer keeps all
// clients in the data centre, whatever the other VMs say.
func TestCutOffWithoutRequests(t *testing.T) {
	is := is.New(t)
	v := newVM()
	v.perTick, v.lacking = 0, true
	is.Equal(v.play(10*time.Second, 0, true), time.Duration(-1))
	cutAt := v.now
	found := v.play(3*time.Second, 0, false)
	is.True(found >= 0)
	is.True(found-cutAt <= 1750*ms)
}

// A small VM gets two requests a second. It must not wait for half a second with
// more of them.
func TestCutOffWithFewRequests(t *testing.T) {
	is := is.New(t)
	v := newVM()
	v.perTick = 1
	is.Equal(v.play(10*time.Second, 0, true), time.Duration(-1))
	cutAt := v.now
	found := v.play(3*time.Second, 1, false)
	is.True(found >= 0)
	is.True(found-cutAt <= 1250*ms)
}

func TestStays(t *testing.T) {
	cases := []struct {
		name     string
		unserved float64
		hears    bool
	}{
		{"servers at fault", 0.9, true},
		{"store and others silent", 0, false},
		{"some failures in the silence", 0.1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			v := newVM()
			is.Equal(v.play(20*time.Second, tc.unserved, tc.hears), time.Duration(-1))
		})
	}
}

// A data centre without servers of its own is cut off while requests come. Each ten
// milliseconds one more answer is owed by a server elsewhere. Callers are refused
// until the balancer has found the VM out, which takes two of its checks from here: a
// second of silence first would be a second more for all of them.
func TestCutOffIsProvenByAnswersOwed(t *testing.T) {
	cases := []struct {
		name string
		// everyMs is the time from one attempt to the next.
		everyMs int
		// mute is set if VMs elsewhere gave no sign of life.
		mute, lacking bool
		within        time.Duration
	}{
		{"many attempts", 10, true, true, 250 * ms},
		{"few attempts", 60, true, true, 400 * ms},
		{"two requests a second", 500, true, true, 1650 * ms},
		{"servers at fault: a VM there lives", 10, false, false, 0},
		{"can serve alone", 10, true, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ju := reach.New(reach.Config{})
			found := time.Duration(0)
			for now := time.Duration(0); now < 1700*ms && found == 0; now += 50 * ms {
				si := reach.Sight{Silence: now, Owed: int(now/ms) / tc.everyMs, Lacking: tc.lacking}
				// They are asked once there is a doubt, and then have some time.
				si.Mute = tc.mute && ju.Doubts(reach.Sight{Silence: now - 50*ms, Owed: si.Owed})
				if ju.Look(now, si) {
					found = now
				}
			}
			if tc.within == 0 {
				is.Equal(found, time.Duration(0))
				return
			}
			is.True(found > 0 && found <= tc.within)
			// It stays so until somebody is heard, also while nothing more is owed.
			is.True(ju.Look(found+50*ms, reach.Sight{Silence: found + 50*ms, Lacking: tc.lacking}))
			is.True(!ju.Look(found+time.Second, reach.Sight{Silence: 20 * ms, Lacking: tc.lacking}))
		})
	}
}
