package qsim

import "laburnumvane/core/search"

type eventKind uint8

const (
	// evArrive: a caller's search arrives.
	evArrive eventKind = iota + 1
	// evDelivered: a sub-request reaches its server.
	evDelivered
	// evServed: a server has finished a sub-request.
	evServed
	// evCancel: a cancellation reaches its server.
	evCancel
	// evResult: the reply, refusal or failure of a sub-request reaches the
	// sender.
	evResult
	// evWake: the timer of a search fires.
	evWake
	// evPlanned: a scheduled fault or change of the view takes place.
	evPlanned
)

type event struct {
	kind   eventKind
	sub    *subRequest
	run    *run
	result search.Event
	call   func()
}
