// Package queue orders what waits for the same place.
//
// # Usage
//
//	var li queue.Line[*call]
//	li.Push(priority, ca)
//	ca, ok := li.Pop()
//	li.Remove(ca)
//
// Of those with the best priority the newest goes first. While more comes than
// can be served, those that have waited longest are the ones whose callers get
// least out of an answer: first come, first served would make all of them late,
// and the newest first answers as many in time as there is room for. Whoever
// waits bounds the wait of the others by taking itself out.
package queue

// Line is what waits. It is not safe for concurrent use.
type Line[T comparable] struct {
	// OldestFirst turns the order of those with one priority round.
	OldestFirst bool

	items []item[T]
}

type item[T comparable] struct {
	priority int
	value    T
}

// Push adds one; priority 0 goes before 1.
func (li *Line[T]) Push(priority int, value T) {
	li.items = append(li.items, item[T]{priority: priority, value: value})
}

// Pop takes the one that goes first.
func (li *Line[T]) Pop() (T, bool) {
	var none T
	if len(li.items) == 0 {
		return none, false
	}
	best := len(li.items) - 1
	for i := best - 1; i >= 0; i-- {
		older, newest := li.items[i].priority, li.items[best].priority
		if older < newest || li.OldestFirst && older == newest {
			best = i
		}
	}
	value := li.items[best].value
	li.cut(best)
	return value, true
}

// Remove takes one out, wherever it stands, and tells whether it was there.
func (li *Line[T]) Remove(value T) bool {
	for i := range li.items {
		if li.items[i].value == value {
			li.cut(i)
			return true
		}
	}
	return false
}

// Drain takes all.
func (li *Line[T]) Drain() []T {
	values := make([]T, len(li.items))
	for i := range li.items {
		values[i] = li.items[i].value
	}
	li.items = nil
	return values
}

// Len is how many wait.
func (li *Line[T]) Len() int { return len(li.items) }

func (li *Line[T]) cut(i int) {
	copy(li.items[i:], li.items[i+1:])
	li.items[len(li.items)-1] = item[T]{}
	li.items = li.items[:len(li.items)-1]
}
