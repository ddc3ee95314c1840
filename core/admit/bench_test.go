package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/admit"
)

func alwaysCapacity(time.Duration, int) bool { return true }
func neverCapacity(time.Duration, int) bool  { return false }

// BenchmarkDecision measures one decision of each kind, including the end of an
// admitted search.
func BenchmarkDecision(b *testing.B) {
	b.Run("admit", func(b *testing.B) {
		mc := admit.New[int](admit.Config{HasCapacity: alwaysCapacity})
		b.ReportAllocs()
		now := time.Duration(0)
		for b.Loop() {
			now += time.Microsecond
			mc.Offer(now, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: now + time.Second}, 0)
			mc.ConfirmStart()
			mc.Done(now, admit.Interactive, time.Millisecond, false)
		}
	})
	b.Run("refuse", func(b *testing.B) {
		mc := machineWithFullQueue(1024)
		b.ReportAllocs()
		now := time.Second
		for b.Loop() {
			now += time.Microsecond
			mc.Offer(now, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: now + time.Second}, 0)
		}
	})
	for _, teams := range []int{1, 10, 1000} {
		b.Run(fmt.Sprintf("queue and start/teams=%d", teams), func(b *testing.B) {
			hasCapacity := false
			mc := admit.New[int](admit.Config{HasCapacity: func(time.Duration, int) bool { return hasCapacity }, MaxTeamQueue: 1 << 20, MaxQueue: 1 << 20})
			now := time.Duration(0)
			rq := func(i int) admit.Request {
				return admit.Request{Class: admit.Interactive, Team: admit.TeamID(i % teams), Cost: 10, Deadline: now + time.Hour}
			}
			for i := range 2000 {
				mc.Offer(now, rq(i), 0)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += time.Microsecond
				hasCapacity = false
				mc.Offer(now, rq(i), 0)
				hasCapacity = true
				for _, gr := range mc.Step(now) {
					if gr.Start {
						mc.ConfirmStart()
						mc.Done(now, admit.Interactive, time.Millisecond, false)
					}
				}
				i++
			}
		})
	}
}

// machineWithFullQueue returns a machine whose interactive queue of n searches is full.
func machineWithFullQueue(n int) *admit.Machine[int] {
	mc := admit.New[int](admit.Config{HasCapacity: neverCapacity, MaxQueue: n, MaxTeamQueue: n})
	for range n {
		mc.Offer(0, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: time.Hour}, 0)
	}
	return mc
}

// A decision allocates nothing once the queues have reached their size: under
// overload, garbage collection would add to the load.
func TestDecisionAllocatesNothing(t *testing.T) {
	is := is.New(t)
	mc := machineWithFullQueue(64)
	now := time.Second
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += time.Microsecond
		mc.Offer(now, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: now + time.Second}, 0)
	}), 0.0)
	idle := admit.New[int](admit.Config{HasCapacity: alwaysCapacity})
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += time.Microsecond
		idle.Offer(now, admit.Request{Class: admit.Urgent, Cost: 10, Deadline: now + time.Second}, 0)
		idle.ConfirmStart()
		idle.Done(now, admit.Urgent, time.Millisecond, false)
	}), 0.0)
}
