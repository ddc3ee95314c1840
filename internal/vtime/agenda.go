package vtime

import (
	"iter"
	"time"

	"laburnumvane/core/sched"
)

// Agenda is a virtual clock and the events to come. The zero value stands at 0
// and has no events. Not safe for concurrent use.
type Agenda[T any] struct {
	now   time.Duration
	queue sched.Queue[T]
}

// Now is the virtual time since the beginning.
func (ag *Agenda[T]) Now() time.Duration { return ag.now }

// After puts in an event that is due d from now. One in the past is due now,
// as time never goes back.
func (ag *Agenda[T]) After(d time.Duration, ev T) {
	ag.queue.Push(ag.now+max(0, d), ev)
}

// Next takes the earliest event that is due by end, and the time is its time.
// Without one the time is end and the second result false.
func (ag *Agenda[T]) Next(end time.Duration) (T, bool) {
	if at, ok := ag.queue.Next(); ok && at <= end {
		ag.now = at
		return ag.queue.Pop(at)
	}
	ag.now = max(ag.now, end)
	var none T
	return none, false
}

// Until gives all events that are due by end in their order, those included that
// are put in meanwhile. After a break the time is that of the last event.
func (ag *Agenda[T]) Until(end time.Duration) iter.Seq[T] {
	return func(yield func(T) bool) {
		for ev, ok := ag.Next(end); ok; ev, ok = ag.Next(end) {
			if !yield(ev) {
				return
			}
		}
	}
}

// Len is how many events are to come.
func (ag *Agenda[T]) Len() int { return ag.queue.Len() }

// All gives the events to come, in no particular order but the same one in every
// run.
func (ag *Agenda[T]) All() iter.Seq[T] { return ag.queue.All() }
