package member

import (
	"math/bits"
	"slices"
)

// Queue holds updates to disseminate by gossip: each item is piggybacked on a bounded number of
// messages, those sent least often first. The number of items is bounded. It is independent of
// Machine and serves other data piggybacked on beats as well. It is not safe for concurrent use.
type Queue[K comparable, V any] struct {
	capacity int
	items    []queueItem[K, V]
	seq      uint64
}

type queueItem[K comparable, V any] struct {
	key   K
	value V
	sent  int
	seq   uint64
}

// RetransmitFactor is the number of times that an item is sent for each doubling of the number of
// VMs. With 3, an update misses one of 330 VMs less than once in 1,000 times at 5% loss, even
// without repair.
const RetransmitFactor = 3

// Retransmits returns the number of messages that an item is piggybacked on in a fleet of n VMs.
func Retransmits(n int) int {
	return RetransmitFactor * max(1, bits.Len(uint(max(0, n))))
}

// NewQueue returns an empty queue for at most capacity items.
func NewQueue[K comparable, V any](capacity int) *Queue[K, V] {
	return &Queue[K, V]{capacity: capacity}
}

// Put adds an item and replaces one with the same key. If the queue is full, the last item, which
// has been sent most often, is discarded and dropped is true.
func (qu *Queue[K, V]) Put(key K, value V) (dropped bool) {
	qu.Drop(key)
	qu.seq++
	if len(qu.items) >= qu.capacity {
		qu.items = qu.items[:len(qu.items)-1]
		dropped = true
	}
	qu.items = slices.Insert(qu.items, 0, queueItem[K, V]{key: key, value: value, seq: qu.seq})
	return dropped
}

// Drop removes the item with the key, for instance when all VMs have it.
func (qu *Queue[K, V]) Drop(key K) {
	qu.items = slices.DeleteFunc(qu.items, func(it queueItem[K, V]) bool { return it.key == key })
}

// Take selects the items for the next message and counts them as sent. It calls take once for each
// item in queue order; take reports whether the item is included. An item is removed after limit
// messages.
func (qu *Queue[K, V]) Take(limit int, take func(V) bool) {
	qu.MarkSent(limit, take)
}

// Peek calls take for each item in queue order, without counting them as sent. It is for messages
// that may get lost: if items were counted when sent, they would be used up by messages that nobody
// received. Call MarkSent once the message is known to have arrived.
func (qu *Queue[K, V]) Peek(take func(V)) {
	for _, it := range qu.items {
		take(it.value)
	}
}

// MarkSent counts one more message for each item that was included in it, and removes the items
// that have been sent limit times.
func (qu *Queue[K, V]) MarkSent(limit int, included func(V) bool) {
	counted := false
	for i := range qu.items {
		if !included(qu.items[i].value) {
			continue
		}
		qu.items[i].sent++
		counted = true
	}
	if !counted {
		return
	}
	qu.items = slices.DeleteFunc(qu.items, func(it queueItem[K, V]) bool { return it.sent >= limit })
	slices.SortStableFunc(qu.items, func(a, b queueItem[K, V]) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		// Newer items first: older ones have had more chances.
		return int(int64(b.seq) - int64(a.seq))
	})
}

// Len returns the number of items in the queue.
func (qu *Queue[K, V]) Len() int {
	return len(qu.items)
}

// Clear removes all items.
func (qu *Queue[K, V]) Clear() {
	qu.items = nil
}
