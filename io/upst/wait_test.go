package upst

import (
	"testing"

	"github.com/matryer/is"
)

// There is always somebody who waits, some leave, and the others are served in
// the order in which they came. The queue does not grow with those served.
func TestWaitListUnderSteadyLoad(t *testing.T) {
	is := is.New(t)
	var wl waitList
	var expect []*waiter
	for i := range 100_000 {
		wt := wl.add()
		if i%7 == 3 {
			is.True(wl.leave(wt))
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

// A waiter that was handed a connection cannot leave any more: it has to take
// it, or the connection would be lost.
func TestWaiterCannotLeaveWithHandout(t *testing.T) {
	is := is.New(t)
	var wl waitList
	wt := wl.add()
	got, ok := wl.next()
	is.True(ok)
	got.ch <- handout{}
	is.True(!wl.leave(wt))
	is.Equal(wl.len(), 0)
}
