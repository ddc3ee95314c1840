// Package sched provides a priority queue of items, ordered by the time at which each is due.
//
// # Usage
//
//	var qu sched.Queue[view.ServerID]
//	qu.Push(now+time.Second, id)
//	for id, ok := qu.Pop(now); ok; id, ok = qu.Pop(now) {
//		// id is due
//	}
//
// Items that are due at the same time are returned in the order in which they were pushed.
// Otherwise the order would depend on the layout of the heap, and a simulation run would change
// with any small change elsewhere.
//
// The queue is a binary heap that does not use container/heap, so that Push allocates only when
// the slice grows. The zero value is an empty queue.
package sched

import (
	"iter"
	"time"
)

// Queue holds items with the time at which each is due. It is not safe for concurrent use.
type Queue[T any] struct {
	items  []item[T]
	pushes uint64
}

type item[T any] struct {
	at  time.Duration
	no  uint64
	val T
}

func (it *item[T]) before(other *item[T]) bool {
	return it.at < other.at || it.at == other.at && it.no < other.no
}

// Len returns the number of items.
func (qu *Queue[T]) Len() int { return len(qu.items) }

// Next returns the earliest time; false if the queue is empty.
func (qu *Queue[T]) Next() (time.Duration, bool) {
	if len(qu.items) == 0 {
		return 0, false
	}
	return qu.items[0].at, true
}

// All iterates over the items in no particular order, which is the same in every run.
func (qu *Queue[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, it := range qu.items {
			if !yield(it.val) {
				return
			}
		}
	}
}

// Push adds an item.
func (qu *Queue[T]) Push(at time.Duration, val T) {
	qu.pushes++
	qu.items = append(qu.items, item[T]{at: at, no: qu.pushes, val: val})
	q := qu.items
	for i := len(q) - 1; i > 0; {
		parent := (i - 1) / 2
		if q[parent].before(&q[i]) {
			break
		}
		q[parent], q[i] = q[i], q[parent]
		i = parent
	}
}

// Pop removes and returns the earliest item if it is due.
func (qu *Queue[T]) Pop(now time.Duration) (T, bool) {
	if at, ok := qu.Next(); !ok || at > now {
		var none T
		return none, false
	}
	q := qu.items
	first := q[0].val
	last := len(q) - 1
	q[0] = q[last]
	q[last] = item[T]{}
	qu.items = q[:last]
	qu.siftDown()
	return first, true
}

func (qu *Queue[T]) siftDown() {
	q := qu.items
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(q) {
			return
		}
		if child+1 < len(q) && q[child+1].before(&q[child]) {
			child++
		}
		if q[i].before(&q[child]) {
			return
		}
		q[i], q[child] = q[child], q[i]
		i = child
	}
}
