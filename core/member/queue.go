package member

import (
	"math/bits"
	"slices"
)

// Queue holds what shall spread through the fleet: each item rides on a bounded
// number of messages, those least sent first. It has room for a bounded number
// of items. It is independent of Machine; whatever else rides on beats uses one
// too.
type Queue[K comparable, V any] struct {
	cap   int
	items []queued[K, V]
	seq   uint64
}

type queued[K comparable, V any] struct {
	key   K
	value V
	sent  int
	seq   uint64
}

// RetransmitFactor is the number of times that an item is sent for each doubling
// of the number of VMs. At 3 a rumour misses a VM among 330 less than once in
// 1,000 at 5% loss even without repair.
const RetransmitFactor = 3

// Retransmits is the number of messages on which an item rides among n VMs.
func Retransmits(n int) int {
	return RetransmitFactor * max(1, bits.Len(uint(max(0, n))))
}

// NewQueue makes an empty queue for at most room items.
func NewQueue[K comparable, V any](room int) *Queue[K, V] {
	return &Queue[K, V]{cap: room}
}

// Put adds an item, in place of an older one with the same key. If there is no
// room the item that was sent most gives way, and dropped is true.
func (qu *Queue[K, V]) Put(key K, value V) (dropped bool) {
	qu.Drop(key)
	qu.seq++
	if len(qu.items) >= qu.cap {
		qu.items = qu.items[:len(qu.items)-1]
		dropped = true
	}
	qu.items = slices.Insert(qu.items, 0, queued[K, V]{key: key, value: value, seq: qu.seq})
	return dropped
}

// Drop removes an item, as when everyone has it.
func (qu *Queue[K, V]) Drop(key K) {
	qu.items = slices.DeleteFunc(qu.items, func(it queued[K, V]) bool { return it.key == key })
}

// Take returns what goes on the next message: items that take accepts, in the
// order of the queue, each at most limit times over the queue's life. Take is
// given each value once and says whether it fits.
func (qu *Queue[K, V]) Take(limit int, take func(V) bool) {
	qu.Sent(limit, take)
}

// Peek offers each value to take, in the order of the queue, without counting a
// message. It is for messages that may get lost: counted when they are sent,
// an item would be spent on those that nobody received. Call Sent once the
// message is known to have arrived.
func (qu *Queue[K, V]) Peek(take func(V)) {
	for _, it := range qu.items {
		take(it.value)
	}
}

// Sent counts one more message for each item that rode on it, and forgets those
// that have been on limit messages.
func (qu *Queue[K, V]) Sent(limit int, rode func(V) bool) {
	counted := false
	for i := range qu.items {
		if !rode(qu.items[i].value) {
			continue
		}
		qu.items[i].sent++
		counted = true
	}
	if !counted {
		return
	}
	qu.items = slices.DeleteFunc(qu.items, func(it queued[K, V]) bool { return it.sent >= limit })
	slices.SortStableFunc(qu.items, func(a, b queued[K, V]) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		// Newer news first: older news has had more chances.
		return int(int64(b.seq) - int64(a.seq))
	})
}

// Len is the number of items that still ride.
func (qu *Queue[K, V]) Len() int {
	return len(qu.items)
}

// Clear forgets all items.
func (qu *Queue[K, V]) Clear() {
	qu.items = nil
}
