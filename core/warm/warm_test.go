package warm_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/warm"
)

const ms = time.Millisecond

func newGate(limit, floor int) *warm.Gate {
	return warm.New(warm.Config{Limit: limit, Floor: floor, Rand: rand.New(rand.NewPCG(1, 1))})
}

// openAll begins every opening allowed now and tells how many there were.
func openAll(ga *warm.Gate, now time.Duration) int {
	n := 0
	for ga.MayOpen(now) {
		ga.Begin()
		n++
	}
	return n
}

// A cold start: openings under way double with each that succeeds, up to four.
func TestRamp(t *testing.T) {
	is := is.New(t)
	ga := newGate(30, 1)
	got := []int{}
	for range 4 {
		n := openAll(ga, 0)
		got = append(got, n)
		for range n {
			ga.Opened()
		}
	}
	is.Equal(got, []int{1, 2, 4, 4})
}

// The server is down: requests keep asking, and the gate lets ever fewer
// openings through, one at a time.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	ga := newGate(30, 1)
	tries := 0
	for now := time.Duration(0); now < 60*time.Second; now += ms {
		if openAll(ga, now) > 0 {
			tries++
			ga.Failed(now, warm.FaultDial)
		}
	}
	// Two-second waits, half to one and a half times as long, after the first
	// few: 60 s hold at most 60 of them.
	is.True(tries < 70)
	is.True(tries > 20)
}

// The server takes ten connections in all and others hold seven: the gate stops
// at three, tries one more now and then, and has the limit back once it is
// raised.
func TestRefusalSetsCeiling(t *testing.T) {
	is := is.New(t)
	ga := newGate(30, 30)
	room := 3
	refused := 0
	run := func(from, until time.Duration) {
		for now := from; now < until; now += ms {
			for range openAll(ga, now) {
				if ga.Open() < room {
					ga.Opened()
					continue
				}
				refused++
				ga.Failed(now, warm.FaultRefused)
			}
		}
	}
	run(0, 30*time.Second)
	is.Equal(ga.Open(), 3)
	is.True(refused < 40)
	room = 30
	run(30*time.Second, 40*time.Second)
	is.Equal(ga.Open(), 30)
}

func TestWantFollowsUse(t *testing.T) {
	is := is.New(t)
	ga := newGate(8, 2)
	is.Equal(ga.Want(), 2)
	ga.Used(time.Second, 5)
	is.Equal(ga.Want(), 6)
	ga.Used(32*time.Second, 1)
	is.Equal(ga.Want(), 6)
	ga.Used(63*time.Second, 1)
	is.Equal(ga.Want(), 2)
	ga.SetLimit(1)
	is.Equal(ga.Want(), 1)
}

// Whatever comes, connections open and under way stay within the limit in force
// when each was begun, and no more than four are under way.
func TestNeverOverLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ga := newGate(rapid.IntRange(0, 10).Draw(rt, "limit"), 3)
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "gap")) * ms
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1:
				openAll(ga, now)
			case 2:
				if ga.Opening() > 0 {
					ga.Opened()
				}
			case 3:
				if ga.Opening() > 0 {
					ga.Failed(now, warm.Fault(rapid.IntRange(1, 2).Draw(rt, "fault")))
				}
			case 4:
				if ga.Open() > 0 {
					ga.Closed()
				}
			case 5:
				ga.SetLimit(rapid.IntRange(0, 10).Draw(rt, "limit"))
			}
			if before := ga.Open() + ga.Opening(); before >= ga.Limit() && ga.MayOpen(now) {
				rt.Fatalf("one more over the limit %d with %d", ga.Limit(), before)
			}
			if ga.Opening() > warm.DefaultMostAtOnce {
				rt.Fatalf("%d openings at once", ga.Opening())
			}
		}
	})
}
