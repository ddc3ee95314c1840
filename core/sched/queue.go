// Package sched keeps things in the order of their times.
//
// # Usage
//
//	var qu sched.Queue[view.ServerID]
//	qu.Push(now+time.Second, id)
//	for id, ok := qu.Pop(now); ok; id, ok = qu.Pop(now) {
//		// id's time has come
//	}
//
// Items that are due at the same time come out in the order in which they were
// pushed. Otherwise a run would depend on how the heap lies, and a small change
// elsewhere would give a session other actions.
//
// It is a binary heap without container/heap's interface, so that a push
// allocates nothing but the slice's growth. The zero value is empty and usable.
package sched

import (
	"iter"
	"time"
)

// Queue holds items with the time at which each is due.
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

// Len is the number of items.
func (qu *Queue[T]) Len() int { return len(qu.items) }

// Next is the earliest time; false where the queue is empty.
func (qu *Queue[T]) Next() (time.Duration, bool) {
	if len(qu.items) == 0 {
		return 0, false
	}
	return qu.items[0].at, true
}

// All gives the items that wait, in no particular order but the same one in
// every run.
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

// Pop takes the earliest item if its time has come.
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
	qu.sink()
	return first, true
}

func (qu *Queue[T]) sink() {
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
