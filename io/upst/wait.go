package upst

import "context"

// handout is what a waiter is given: a connection or the reason for none.
type handout struct {
	cn  *conn
	err error
}

// waiter is a request that waits for a connection.
type waiter struct {
	ch   chan handout
	gone bool
}

// waitList is a queue of waiters, first come first served. Waiters that left
// stay in it until their turn and are passed over.
type waitList struct {
	queue []*waiter
	head  int
	left  int
}

// compactFrom is the number of served places at the head of the queue from which
// it is worth closing the gap: under steady overload it never runs empty.
const compactFrom = 64

func (wl *waitList) add() *waiter {
	if wl.head >= compactFrom && 2*wl.head >= len(wl.queue) {
		n := copy(wl.queue, wl.queue[wl.head:])
		clear(wl.queue[n:])
		wl.queue, wl.head = wl.queue[:n], 0
	}
	wt := &waiter{ch: make(chan handout, 1)}
	wl.queue = append(wl.queue, wt)
	wl.left++
	return wt
}

// leave takes a waiter out; false if it has been given something already.
func (wl *waitList) leave(wt *waiter) bool {
	if len(wt.ch) > 0 {
		return false
	}
	wt.gone = true
	wl.left--
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
		if wt.gone {
			continue
		}
		wl.left--
		return wt, true
	}
	return nil, false
}

func (wl *waitList) len() int {
	return wl.left
}

// wait returns what the waiter is given, or the context's error.
func (po *pool) wait(ctx context.Context, wt *waiter) (*conn, error) {
	select {
	case ho := <-wt.ch:
		return ho.cn, ho.err
	case <-ctx.Done():
	}
	po.mu.Lock()
	left := po.waiters.leave(wt)
	po.mu.Unlock()
	if left {
		return nil, po.fail("upst.take", KindNoConn, ctx.Err())
	}
	ho := <-wt.ch
	return ho.cn, ho.err
}
