package vtime

import (
	"iter"
	"time"

	"laburnumvane/core/sched"
)

// Agenda is a virtual clock and a queue of future events. The zero value is at time 0 and has no
// events. Not safe for concurrent use.
type Agenda[T any] struct {
	now   time.Duration
	queue sched.Queue[T]
}

// Now returns the virtual time since the start.
func (ag *Agenda[T]) Now() time.Duration { return ag.now }

// After schedules an event in d from now. A negative d means now, as time never goes back.
func (ag *Agenda[T]) After(d time.Duration, ev T) {
	ag.queue.Push(ag.now+max(0, d), ev)
}

// Next removes and returns the earliest event due by end, and advances the clock to its time. If there
// is none, it advances the clock to end and returns false.
func (ag *Agenda[T]) Next(end time.Duration) (T, bool) {
	if at, ok := ag.queue.Next(); ok && at <= end {
		ag.now = at
		return ag.queue.Pop(at)
	}
	ag.now = max(ag.now, end)
	var none T
	return none, false
}

// Until yields all events due by end in order, including those scheduled meanwhile. If the loop stops
// early, the clock stays at the time of the last event.
func (ag *Agenda[T]) Until(end time.Duration) iter.Seq[T] {
	return func(yield func(T) bool) {
		for ev, ok := ag.Next(end); ok; ev, ok = ag.Next(end) {
			if !yield(ev) {
				return
			}
		}
	}
}

// Len returns the number of scheduled events.
func (ag *Agenda[T]) Len() int { return ag.queue.Len() }

// All yields the scheduled events in an unspecified order, which is the same in every run.
func (ag *Agenda[T]) All() iter.Seq[T] { return ag.queue.All() }
