package sched_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/sched"
)

// entry is an item with its sequence number.
type entry struct {
	at time.Duration
	no int
}

func (en entry) compare(other entry) int {
	return cmp.Or(cmp.Compare(en.at, other.at), cmp.Compare(en.no, other.no))
}

// Items are returned in the order of their times, those of the same time in the order of their
// pushes, and never before they are due.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var qu sched.Queue[entry]
		var waiting []entry
		for no := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if at := time.Duration(rapid.IntRange(0, 50).Draw(rt, "at")); rapid.Bool().Draw(rt, "push") {
				qu.Push(at, entry{at, no})
				waiting = append(waiting, entry{at, no})
				continue
			}
			now := time.Duration(rapid.IntRange(0, 50).Draw(rt, "now"))
			slices.SortFunc(waiting, entry.compare)
			got, ok := qu.Pop(now)
			is.Equal(ok, len(waiting) > 0 && waiting[0].at <= now)
			if ok {
				is.Equal(got, waiting[0])
				waiting = waiting[1:]
			}
			is.Equal(qu.Len(), len(waiting))
			slices.SortFunc(waiting, entry.compare)
			is.True(slices.Equal(slices.SortedFunc(qu.All(), entry.compare), waiting))
		}
	})
}
