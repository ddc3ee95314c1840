package upst

import "context"

// assignment is what a waiter receives: a connection, or an error.
type assignment struct {
	cn  *conn
	err error
}

// waiter is a request that waits for a connection.
type waiter struct {
	ch   chan assignment
	left bool
}

// waitList is a FIFO queue of waiters. Waiters that were removed stay in the queue until their
// turn, and are then skipped. The zero value is an empty list.
type waitList struct {
	queue   []*waiter
	head    int
	waiting int
}

// compactFrom is the number of used entries at the head of the queue from which it is
// compacted. Under steady overload the queue is never empty, so without this it would grow.
const compactFrom = 64

func (wl *waitList) add() *waiter {
	if wl.head >= compactFrom && 2*wl.head >= len(wl.queue) {
		n := copy(wl.queue, wl.queue[wl.head:])
		clear(wl.queue[n:])
		wl.queue, wl.head = wl.queue[:n], 0
	}
	wt := &waiter{ch: make(chan assignment, 1)}
	wl.queue = append(wl.queue, wt)
	wl.waiting++
	return wt
}

// remove removes a waiter. It returns false if the waiter already has an assignment.
func (wl *waitList) remove(wt *waiter) bool {
	if len(wt.ch) > 0 {
		return false
	}
	wt.left = true
	wl.waiting--
	return true
}

func (wl *waitList) next() (*waiter, bool) {
	for wl.head < len(wl.queue) {
		wt := wl.queue[wl.head]
		wl.queue[wl.head] = nil
		wl.head++
		if wl.head == len(wl.queue) {
			wl.queue, wl.head = wl.queue[:0], 0
		}
		if wt.left {
			continue
		}
		wl.waiting--
		return wt, true
	}
	return nil, false
}

func (wl *waitList) len() int {
	return wl.waiting
}

// wait returns the waiter's assignment, or an error if the context ends first.
func (po *pool) wait(ctx context.Context, wt *waiter) (*conn, error) {
	select {
	case as := <-wt.ch:
		return as.cn, as.err
	case <-ctx.Done():
	}
	po.mu.Lock()
	removed := po.waiters.remove(wt)
	po.mu.Unlock()
	if removed {
		return nil, po.fail("upst.take", KindNoConn, ctx.Err())
	}
	as := <-wt.ch
	return as.cn, as.err
}
