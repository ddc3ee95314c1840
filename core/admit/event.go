package admit

import "time"

// TeamID is a team's small number; whoever drives the machine hands them out
// from 0 up.
type TeamID uint32

// Request is a search that wants to start.
type Request struct {
	Class Class
	Team  TeamID
	// Cost is the work of the search in any unit, above 0; turns among teams
	// are weighted by it.
	Cost int32
	// Deadline is when the answer is of no use any more.
	Deadline time.Duration
}

// Kind is what becomes of a request.
type Kind uint8

// Kinds of decisions.
const (
	Admitted Kind = iota + 1
	Queued
	Refused
)

// Reason tells why a search was refused.
type Reason string

// Reasons. Each means that nothing of the search was sent.
const (
	// ReasonLate: the deadline leaves too little time even without a wait.
	ReasonLate Reason = "deadlineTooClose"
	// ReasonWait: the wait would take too much of the time left.
	ReasonWait Reason = "waitTooLong"
	// ReasonQueue: the class's queue is full.
	ReasonQueue Reason = "queueFull"
	// ReasonTeamQueue: the team's part of that queue is full.
	ReasonTeamQueue Reason = "teamQueueFull"
	// ReasonWaited: it waited, and its turn did not come in time.
	ReasonWaited Reason = "waited"
)

// Handle names a search that waits.
type Handle struct {
	slot  int32
	stamp uint32
}

// Decision answers an offer.
type Decision struct {
	Kind       Kind
	Reason     Reason
	RetryAfter time.Duration
	// Handle and Until hold where Kind is Queued: Until is the last time at
	// which it may start.
	Handle Handle
	Until  time.Duration
}

// Grant ends the wait of a search: it may start, or it is refused.
type Grant[W any] struct {
	Waiter     W
	Start      bool
	Reason     Reason
	RetryAfter time.Duration
}
