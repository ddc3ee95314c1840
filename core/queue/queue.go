// Package queue is a priority queue for requests that wait for the same resource.
//
// # Usage
//
//	var qu queue.Queue[*call]
//	qu.Push(priority, ca)
//	ca, ok := qu.Pop()
//	qu.Remove(ca)
//
// Among values of the best priority, the newest goes first. Under overload, the callers that have
// waited longest gain least from an answer: first in, first out would make all answers late,
// while last in, first out answers as many callers in time as capacity allows. A caller limits
// its wait by removing its value from the queue.
package queue

// Queue is the queue of waiting values. The zero value is empty. It is not safe for concurrent use.
type Queue[T comparable] struct {
	// OldestFirst makes the oldest value of a priority go first.
	OldestFirst bool

	items []item[T]
}

type item[T comparable] struct {
	priority int
	value    T
}

// Push adds a value; a lower priority number goes first.
func (qu *Queue[T]) Push(priority int, value T) {
	qu.items = append(qu.items, item[T]{priority: priority, value: value})
}

// Pop removes and returns the value that goes first; ok is false if the queue is empty.
func (qu *Queue[T]) Pop() (T, bool) {
	var zero T
	if len(qu.items) == 0 {
		return zero, false
	}
	best := len(qu.items) - 1
	for i := best - 1; i >= 0; i-- {
		older, newest := qu.items[i].priority, qu.items[best].priority
		if older < newest || qu.OldestFirst && older == newest {
			best = i
		}
	}
	value := qu.items[best].value
	qu.removeAt(best)
	return value, true
}

// Remove removes a value and reports whether it was in the queue.
func (qu *Queue[T]) Remove(value T) bool {
	for i := range qu.items {
		if qu.items[i].value == value {
			qu.removeAt(i)
			return true
		}
	}
	return false
}

// Drain removes and returns all values, oldest first.
func (qu *Queue[T]) Drain() []T {
	values := make([]T, len(qu.items))
	for i := range qu.items {
		values[i] = qu.items[i].value
	}
	qu.items = nil
	return values
}

// Len returns the number of waiting values.
func (qu *Queue[T]) Len() int { return len(qu.items) }

func (qu *Queue[T]) removeAt(i int) {
	copy(qu.items[i:], qu.items[i+1:])
	qu.items[len(qu.items)-1] = item[T]{}
	qu.items = qu.items[:len(qu.items)-1]
}
