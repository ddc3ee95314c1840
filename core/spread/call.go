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

// call is a question that waits for its answer.
type call struct {
	id       Call
	kind     callKind
	to       rank.VM
	update   Update
	tries    int
	deadline time.Duration
}

func (ma *Machine) newCall(ca call, patience time.Duration) Call {
	ma.last++
	ca.id = ma.last
	ca.deadline = ma.now + patience
	ma.calls = append(ma.calls, ca)
	return ca.id
}

// endCall takes a call off the list; ok is false for one that was given up.
func (ma *Machine) endCall(id Call) (call, bool) {
	at := slices.IndexFunc(ma.calls, func(ca call) bool { return ca.id == id })
	if at < 0 {
		return call{}, false
	}
	ca := ma.calls[at]
	ma.calls = slices.Delete(ma.calls, at, at+1)
	return ca, true
}

// expire gives up calls that were not answered in time. A connection that went
// silent for good looks just like a slow answer: only the time tells.
func (ma *Machine) expire() {
	var late []call
	ma.calls = slices.DeleteFunc(ma.calls, func(ca call) bool {
		over := ca.deadline <= ma.now
		if over {
			late = append(late, ca)
		}
		return over
	})
	for _, ca := range late {
		ma.act(Abandon{Call: ca.id})
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

// waiting tells whether a call of a kind is under way.
func (ma *Machine) waiting(kinds ...callKind) bool {
	return slices.ContainsFunc(ma.calls, func(ca call) bool { return slices.Contains(kinds, ca.kind) })
}
