package server

import (
	"time"

	"laburnumvane/core/view"
)

// wake is a server's time; an entry whose time is no longer the machine's own
// is skipped when it comes up.
type wake struct {
	at time.Duration
	id view.ServerID
}

// wakes is a binary heap, earliest first. Without container/heap's interface a
// push allocates nothing.
type wakes []wake

func (wk *wakes) push(one wake) {
	q := append(*wk, one)
	for i := len(q) - 1; i > 0; {
		parent := (i - 1) / 2
		if q[parent].at <= q[i].at {
			break
		}
		q[parent], q[i] = q[i], q[parent]
		i = parent
	}
	*wk = q
}

func (wk *wakes) pop() wake {
	q := *wk
	first := q[0]
	last := len(q) - 1
	q[0] = q[last]
	q = q[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(q) {
			break
		}
		if child+1 < len(q) && q[child+1].at < q[child].at {
			child++
		}
		if q[i].at <= q[child].at {
			break
		}
		q[i], q[child] = q[child], q[i]
		i = child
	}
	*wk = q
	return first
}
