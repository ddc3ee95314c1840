package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/admit"
)

func always(time.Duration, int) bool { return true }
func never(time.Duration, int) bool  { return false }

// BenchmarkDecision is one decision of each kind, with its end.
func BenchmarkDecision(b *testing.B) {
	b.Run("admit", func(b *testing.B) {
		mc := admit.New[int](admit.Config{Room: always})
		b.ReportAllocs()
		now := time.Duration(0)
		for b.Loop() {
			now += time.Microsecond
			mc.Offer(now, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: now + time.Second}, 0)
			mc.Begun()
			mc.Done(now, admit.Interactive, time.Millisecond, false)
		}
	})
	b.Run("refuse", func(b *testing.B) {
		mc := full(1024)
		b.ReportAllocs()
		now := time.Second
		for b.Loop() {
			now += time.Microsecond
			mc.Offer(now, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: now + time.Second}, 0)
		}
	})
	for _, teams := range []int{1, 10, 1000} {
		b.Run(fmt.Sprintf("queue and start/teams=%d", teams), func(b *testing.B) {
			room := false
			mc := admit.New[int](admit.Config{Room: func(time.Duration, int) bool { return room }, TeamMost: 1 << 20, QueueMost: 1 << 20})
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
				room = false
				mc.Offer(now, rq(i), 0)
				room = true
				for _, gr := range mc.Step(now) {
					if gr.Start {
						mc.Begun()
						mc.Done(now, admit.Interactive, time.Millisecond, false)
					}
				}
				i++
			}
		})
	}
}

// full is a machine whose interactive queue holds as many as it may.
func full(n int) *admit.Machine[int] {
	mc := admit.New[int](admit.Config{Room: never, QueueMost: n, TeamMost: n})
	for range n {
		mc.Offer(0, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: time.Hour}, 0)
	}
	return mc
}

// A decision allocates nothing once queues have grown to their size: under a
// storm of requests garbage would be work as well.
func TestDecisionAllocatesNothing(t *testing.T) {
	is := is.New(t)
	mc := full(64)
	now := time.Second
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += time.Microsecond
		mc.Offer(now, admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: now + time.Second}, 0)
	}), 0.0)
	open := admit.New[int](admit.Config{Room: always})
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += time.Microsecond
		open.Offer(now, admit.Request{Class: admit.Urgent, Cost: 10, Deadline: now + time.Second}, 0)
		open.Begun()
		open.Done(now, admit.Urgent, time.Millisecond, false)
	}), 0.0)
}
