package qsim

import (
	"time"

	"laburnumvane/core/search"
)

type eventKind uint8

const (
	// evArrive: a caller's search arrives.
	evArrive eventKind = iota + 1
	// evReach: a sub-request reaches its server.
	evReach
	// evWorked: a slot is done with a sub-request.
	evWorked
	// evCancel: a cancellation reaches its server.
	evCancel
	// evTold: the end of a sub-request reaches the sender.
	evTold
	// evWake: a search asked to be woken.
	evWake
	// evCall: something of the plan of faults.
	evCall
)

type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	fl   *flight
	rn   *run
	what search.Event
	call func()
}

// heap orders events by time, and by the order in which they were put in, so
// that a run replays.
type heap struct {
	items []event
	seq   uint64
}

func (hp *heap) size() int {
	return len(hp.items)
}

func (hp *heap) push(ev event) {
	hp.seq++
	ev.seq = hp.seq
	hp.items = append(hp.items, ev)
	i := len(hp.items) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !hp.less(i, up) {
			return
		}
		hp.swap(i, up)
		i = up
	}
}

func (hp *heap) pop() event {
	top := hp.items[0]
	last := len(hp.items) - 1
	hp.items[0] = hp.items[last]
	hp.items[last] = event{}
	hp.items = hp.items[:last]
	i := 0
	for {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < last && hp.less(child, least) {
				least = child
			}
		}
		if least == i {
			return top
		}
		hp.swap(i, least)
		i = least
	}
}

func (hp *heap) less(i, k int) bool {
	a, b := &hp.items[i], &hp.items[k]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (hp *heap) swap(i, k int) {
	hp.items[i], hp.items[k] = hp.items[k], hp.items[i]
}
