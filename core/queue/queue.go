// Package queue is a priority queue for requests that wait for the same resource.
//
// # Usage
//
//	var li queue.Line[*call]
//	li.Push(priority, ca)
//	ca, ok := li.Pop()
//	li.Remove(ca)
//
// Among values of the best priority, the newest goes first. Under overload, the callers that have
// waited longest gain least from an answer: first in, first out would make all answers late,
// while last in, first out answers as many callers in time as capacity allows. A caller limits
// its wait by removing its value from the queue.
package queue

// Line is the queue of waiting values. The zero value is empty. It is not safe for concurrent use.
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
func (li *Queue[T]) Push(priority int, value T) {
	li.items = append(li.items, item[T]{priority: priority, value: value})
}

// Pop removes and returns the value that goes first; ok is false if the queue is empty.
func (li *Queue[T]) Pop() (T, bool) {
	var zero T
	if len(li.items) == 0 {
		return zero, false
	}
	best := len(li.items) - 1
	for i := best - 1; i >= 0; i-- {
		older, newest := li.items[i].priority, li.items[best].priority
		if older < newest || li.OldestFirst && older == newest {
			best = i
		}
	}
	value := li.items[best].value
	li.removeAt(best)
	return value, true
}

// Remove removes a value and reports whether it was in the queue.
func (li *Queue[T]) Remove(value T) bool {
	for i := range li.items {
		if li.items[i].value == value {
			li.removeAt(i)
			return true
		}
	}
	return false
}

// Drain removes and returns all values, oldest first.
func (li *Queue[T]) Drain() []T {
	values := make([]T, len(li.items))
	for i := range li.items {
		values[i] = li.items[i].value
	}
	li.items = nil
	return values
}

// Len returns the number of waiting values.
func (li *Queue[T]) Len() int { return len(li.items) }

func (li *Queue[T]) removeAt(i int) {
	copy(li.items[i:], li.items[i+1:])
	li.items[len(li.items)-1] = item[T]{}
	li.items = li.items[:len(li.items)-1]
}
