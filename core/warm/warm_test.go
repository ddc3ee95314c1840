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

// openAll begins all attempts that are allowed now and returns their number.
func openAll(ga *warm.Gate, now time.Duration) int {
	n := 0
	for ga.MayOpen(now) {
		ga.Begin()
		n++
	}
	return n
}

// In a cold start, the number of concurrent attempts doubles with each success, up to four.
func TestConcurrentAttemptsDouble(t *testing.T) {
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

// Guards against a retry loop while the server is down and requests keep asking for connections: the
// gate must allow one attempt at a time, and fewer and fewer of them.
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
	// After the first few, the waits are two seconds, times half to one and a half, so that at
	// most 60 attempts fit into 60 s.
	is.True(tries < 70)
	is.True(tries > 20)
}

// The server accepts ten connections in all, of which other VMs hold seven. The gate must stop at
// three, try one more now and then, and reach its limit once the server accepts more.
func TestRefusalSetsLearnedLimit(t *testing.T) {
	is := is.New(t)
	ga := newGate(30, 30)
	capacity := 3
	refused := 0
	run := func(from, until time.Duration) {
		for now := from; now < until; now += ms {
			for range openAll(ga, now) {
				if ga.Open() < capacity {
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
	capacity = 30
	run(30*time.Second, 40*time.Second)
	is.Equal(ga.Open(), 30)
}

func TestWantFollowsUse(t *testing.T) {
	is := is.New(t)
	ga := newGate(8, 2)
	is.Equal(ga.Target(), 2)
	ga.RecordUse(time.Second, 5)
	is.Equal(ga.Target(), 6)
	ga.RecordUse(32*time.Second, 1)
	is.Equal(ga.Target(), 6)
	ga.RecordUse(63*time.Second, 1)
	is.Equal(ga.Target(), 2)
	ga.SetLimit(1)
	is.Equal(ga.Target(), 1)
}

// Whatever the order of events, no attempt may begin at or above the current limit, and no more than
// four may be in progress.
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
			if total := ga.Open() + ga.Opening(); total >= ga.Limit() && ga.MayOpen(now) {
				rt.Fatalf("one more over the limit %d with %d", ga.Limit(), total)
			}
			if ga.Opening() > warm.DefaultMaxOpening {
				rt.Fatalf("%d openings at once", ga.Opening())
			}
		}
	})
}
