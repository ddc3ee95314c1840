package admit

import "time"

// TeamID identifies a team. The caller assigns consecutive small numbers, since
// a Machine uses them as indexes.
type TeamID uint32

// Request is a search that wants to start.
type Request struct {
	Class Class
	Team  TeamID
	// Cost is the work of the search in any unit, above 0. The turns of the
	// teams are weighted by it.
	Cost int32
	// Deadline is the time after which the answer is of no use.
	Deadline time.Duration
}

// Kind is the kind of a Decision.
type Kind uint8

// Kinds of decisions.
const (
	Admitted Kind = iota + 1
	Queued
	Refused
)

// Reason is why a search was refused.
type Reason string

// Reasons. In each case no sub-request of the search was sent.
const (
	// ReasonDeadlineTooClose: too little time is left even without a wait.
	ReasonDeadlineTooClose Reason = "deadlineTooClose"
	// ReasonWaitTooLong: the wait would take too much of the time left.
	ReasonWaitTooLong Reason = "waitTooLong"
	// ReasonQueueFull: the queue of the class is full.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTeamQueueFull: the team's part of that queue is full.
	ReasonTeamQueueFull Reason = "teamQueueFull"
	// ReasonQueueTimeout: it waited and could not start in time.
	ReasonQueueTimeout Reason = "waited"
)

// Handle identifies a queued search.
type Handle struct {
	slot       int32
	generation uint32
}

// Decision is the result of Machine.Offer.
type Decision struct {
	Kind       Kind
	Reason     Reason
	RetryAfter time.Duration
	// Handle and StartBy are set if Kind is Queued. StartBy is the time by which the
	// search must start.
	Handle  Handle
	StartBy time.Duration
}

// Grant ends the wait of a search: if Start is set it may start, otherwise it is
// refused.
type Grant[W any] struct {
	Waiter     W
	Start      bool
	Reason     Reason
	RetryAfter time.Duration
}
