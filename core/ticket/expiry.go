package ticket

import (
	"container/heap"
	"slices"
	"time"
)

// expiry is the time after which a used ticket may be removed.
type expiry struct {
	number uint64
	at     time.Duration
}

// expiryQueue is a priority queue, earliest expiry first.
type expiryQueue []expiry

func (ex *expiryQueue) push(entry expiry) {
	heap.Push((*expiryHeap)(ex), entry)
}

func (ex *expiryQueue) pop() expiry {
	return heap.Pop((*expiryHeap)(ex)).(expiry)
}

// retain removes all entries for which keep returns false.
func (ex *expiryQueue) retain(keep func(expiry) bool) {
	*ex = slices.DeleteFunc(*ex, func(entry expiry) bool { return !keep(entry) })
	heap.Init((*expiryHeap)(ex))
}

// expiryHeap implements heap.Interface.
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
	entry := old[last]
	*eh = old[:last]
	return entry
}
