package qsim

import "laburnumvane/core/search"

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
	kind eventKind
	fl   *flight
	rn   *run
	what search.Event
	call func()
}
