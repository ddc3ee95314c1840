package sched_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/sched"
)

// Items come out in the order of their times and never before.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var qu sched.Queue[time.Duration]
		var waiting []time.Duration
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if at := time.Duration(rapid.IntRange(0, 50).Draw(rt, "at")); rapid.Bool().Draw(rt, "push") {
				qu.Push(at, at)
				waiting = append(waiting, at)
				continue
			}
			now := time.Duration(rapid.IntRange(0, 50).Draw(rt, "now"))
			slices.Sort(waiting)
			got, ok := qu.Pop(now)
			is.Equal(ok, len(waiting) > 0 && waiting[0] <= now)
			if ok {
				is.Equal(got, waiting[0])
				waiting = waiting[1:]
			}
			is.Equal(qu.Len(), len(waiting))
		}
	})
}
