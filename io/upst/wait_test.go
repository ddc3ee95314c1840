package upst

import (
	"testing"

	"github.com/matryer/is"
)

// The queue is never empty, some waiters are removed, and the others are served in FIFO order.
// The queue must not grow with the number of waiters served.
func TestWaitListUnderSteadyLoad(t *testing.T) {
	is := is.New(t)
	var wl waitList
	var expect []*waiter
	for i := range 100_000 {
		wt := wl.add()
		if i%7 == 3 {
			is.True(wl.remove(wt))
		} else {
			expect = append(expect, wt)
		}
		if len(expect) < 10 {
			continue
		}
		got, ok := wl.next()
		is.True(ok)
		is.True(got == expect[0])
		expect = expect[1:]
		is.Equal(wl.len(), len(expect))
	}
	is.True(cap(wl.queue) < 1000)
}

// A waiter that already has a connection cannot be removed: it must use the connection or give it
// back, or the connection would leak.
func TestWaiterCannotLeaveAfterAssignment(t *testing.T) {
	is := is.New(t)
	var wl waitList
	wt := wl.add()
	got, ok := wl.next()
	is.True(ok)
	got.ch <- assignment{}
	is.True(!wl.remove(wt))
	is.Equal(wl.len(), 0)
}
