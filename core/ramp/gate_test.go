package ramp_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/core/ramp"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

func TestMost(t *testing.T) {
	bounds := ramp.Bounds{Overage: 1.5, Slack: 5}
	for _, tc := range []struct {
		perSecond float64
		want      int
	}{{2, 8}, {4, 11}, {30, 50}, {0.5, 5}, {2.2, 8}} {
		t.Run(fmt.Sprint(tc.perSecond), func(t *testing.T) {
			is.New(t).Equal(bounds.Most(tc.perSecond), tc.want)
		})
	}
}

// standing is a gate of a VM that has been listed for long.
func standing(now time.Duration) *ramp.Gate {
	ga := ramp.New()
	looks(ga, now-2*ramp.Handover, now, 0)
	return ga
}

// A request that leaves a moment later than another one may arrive a moment sooner than that
// after it: the bound holds in any second at the server.
func TestTakeInAnySecond(t *testing.T) {
	is := is.New(t)
	pr := origin.Process{ID: "a"}
	ga := standing(10 * second)
	const most = 8
	var taken []time.Duration
	for now := 10 * second; now < 18*second; now += 3 * ms {
		ga.Look(now, 0, true)
		if ga.Take(now, pr, most) {
			taken = append(taken, now)
		}
	}
	for i := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at-taken[i] <= second {
				n++
			}
		}
		is.True(n <= most)
	}
	is.True(len(taken) >= 7*most)
	is.True(ga.Take(18*second, origin.Process{ID: "b"}, most)) // each server has its own
}

// looks has a VM look at its copy of the store a few times a second.
func looks(ga *ramp.Gate, from, to, age time.Duration) {
	for at := from; at <= to; at += 250 * ms {
		ga.Look(at, age, true)
	}
}

// A VM whose news is old may not know that another one has taken its place, and one that is
// not listed, or since a moment ago only, is not known to the one before.
func TestWhoMaySpeakForTheFleet(t *testing.T) {
	for _, tc := range []struct {
		name string
		look func(ga *ramp.Gate)
		want bool
	}{
		{"listed for long", func(ga *ramp.Gate) { looks(ga, 0, 10*second, 0) }, true},
		{"news stopped a while ago", func(ga *ramp.Gate) {
			looks(ga, 0, 9*second, 0)
			ga.Look(10*second, second, true)
		}, true},
		{"started just now", func(ga *ramp.Gate) { looks(ga, 8*second, 10*second, 0) }, false},
		{"old news", func(ga *ramp.Gate) {
			looks(ga, 0, 9*second, 0)
			ga.Look(10*second, 1900*ms, true)
		}, false},
		{"not listed any more", func(ga *ramp.Gate) {
			looks(ga, 0, 9*second, 0)
			ga.Look(10*second, 0, false)
		}, false},
		{"not listed for a moment", func(ga *ramp.Gate) {
			looks(ga, 0, 8*second, 0)
			ga.Look(8*second, 0, false)
			looks(ga, 8*second, 10*second, 0)
		}, false},
		{"old news until just now", func(ga *ramp.Gate) {
			looks(ga, 0, 8*second, 2*second)
			looks(ga, 8*second, 10*second, 0)
		}, false},
		{"frozen until just now", func(ga *ramp.Gate) {
			looks(ga, 0, 6*second, 0)
			ga.Look(10*second, 0, true)
		}, false},
		{"frozen since", func(ga *ramp.Gate) { looks(ga, 0, 8*second, 0) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ga := ramp.New()
			tc.look(ga)
			is.New(t).Equal(ga.Take(10*second, origin.Process{ID: "a"}, 1), tc.want)
		})
	}
}

// An owner that has no room is asked less and less often, until it had room again. Each request
// that it denies has had the servers of all other shards work for nothing.
func TestAskingGrowsRare(t *testing.T) {
	is := is.New(t)
	ga := ramp.New()
	pr := origin.Process{ID: "a"}
	asked := 0
	for now := time.Duration(0); now < 10*second; now += 10 * ms {
		if ga.MayAsk(now, pr) {
			asked++
			ga.Asked(now, pr, false)
			ga.Asked(now+ms, pr, false) // another one that was under way
		}
	}
	is.True(asked >= 6 && asked <= 9)
	ga.Asked(10*second, pr, true)
	is.True(ga.MayAsk(10*second, pr))
	ga.Asked(10*second, pr, false)
	is.True(ga.MayAsk(10*second+300*ms, pr))
	ga.Keep(origin.New(nil))
	is.True(ga.MayAsk(10*second, pr))
}

// A VM without news may be cut off with others in its place: some of those that it asks answer.
// It must not take that for a store that is away for all, or the servers that turned cold
// meanwhile get from all of them what they got before.
func TestBlind(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		// of so many VMs that were asked so many answered.
		asked, answered int
		want            bool
	}{
		{"news", second, 0, 0, false},
		{"no news, nobody asked", 2 * second, 0, 0, true},
		{"no news, all answer", 2 * second, 4, 4, false},
		{"no news, one died", 2 * second, 4, 3, false},
		{"no news, others are cut off too", 2 * second, 4, 2, true},
		{"no news, nobody answers", 2 * second, 4, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ga := ramp.New()
			ga.Look(10*second, tc.age, true)
			for i := range tc.asked {
				ga.Probed(10*second, i < tc.answered)
			}
			is.Equal(ga.Blind(10*second), tc.want)
			is.True(ga.Blind(13 * second)) // and no word since
		})
	}
}
