package spread

import (
	"slices"
	"time"

	"laburnumvane/core/rank"
)

type callKind uint8

const (
	callRange callKind = iota
	callWatch
	callPush
	callCompare
	callPull
)

// call is a request that waits for its answer.
type call struct {
	id       CallID
	kind     callKind
	to       rank.VM
	update   Update
	tries    int
	deadline time.Duration
}

func (ma *Machine) newCall(ca call, timeout time.Duration) CallID {
	ma.lastCall++
	ca.id = ma.lastCall
	ca.deadline = ma.now + timeout
	ma.calls = append(ma.calls, ca)
	return ca.id
}

// endCall removes and returns a pending call; ok is false if it has expired or was abandoned.
func (ma *Machine) endCall(id CallID) (call, bool) {
	i := slices.IndexFunc(ma.calls, func(ca call) bool { return ca.id == id })
	if i < 0 {
		return call{}, false
	}
	ca := ma.calls[i]
	ma.calls = slices.Delete(ma.calls, i, i+1)
	return ca, true
}

// expire abandons the calls that were not answered in time. A dead connection looks like a slow
// answer; only a time-out can detect it.
func (ma *Machine) expire() {
	var expired []call
	ma.calls = slices.DeleteFunc(ma.calls, func(ca call) bool {
		due := ca.deadline <= ma.now
		if due {
			expired = append(expired, ca)
		}
		return due
	})
	for _, ca := range expired {
		ma.emit(Abandon{Call: ca.id})
		ma.failed(ca)
	}
}

func (ma *Machine) failed(ca call) {
	switch ca.kind {
	case callRange, callWatch:
		ma.serviceFailed()
	case callPush:
		ma.pushFailed(ca)
	case callCompare:
		ma.compareFailed(ca)
	case callPull:
		ma.gossip.pulling = false
	}
}

// inFlight reports whether a call of one of the kinds is pending.
func (ma *Machine) inFlight(kinds ...callKind) bool {
	return slices.ContainsFunc(ma.calls, func(ca call) bool { return slices.Contains(kinds, ca.kind) })
}
