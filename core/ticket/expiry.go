package ticket

import (
	"container/heap"
	"slices"
	"time"
)

// expiry is when a used ticket may be forgotten.
type expiry struct {
	number uint64
	at     time.Duration
}

// expiries is a heap, the earliest first.
type expiries []expiry

func (ex *expiries) push(one expiry) {
	heap.Push((*expiryHeap)(ex), one)
}

func (ex *expiries) pop() expiry {
	return heap.Pop((*expiryHeap)(ex)).(expiry)
}

// keep drops all entries that keep does not want.
func (ex *expiries) keep(keep func(expiry) bool) {
	*ex = slices.DeleteFunc(*ex, func(one expiry) bool { return !keep(one) })
	heap.Init((*expiryHeap)(ex))
}

// expiryHeap has the methods that the library asks for.
type expiryHeap []expiry

func (eh expiryHeap) Len() int           { return len(eh) }
func (eh expiryHeap) Less(i, j int) bool { return eh[i].at < eh[j].at }
func (eh expiryHeap) Swap(i, j int)      { eh[i], eh[j] = eh[j], eh[i] }

func (eh *expiryHeap) Push(x any) {
	*eh = append(*eh, x.(expiry))
}

func (eh *expiryHeap) Pop() any {
	old := *eh
	last := len(old) - 1
	one := old[last]
	*eh = old[:last]
	return one
}
