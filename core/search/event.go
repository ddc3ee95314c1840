package search

import (
	"fmt"
	"time"

	"laburnumvane/core/merge"
	"laburnumvane/core/view"
)

// SubID identifies one sub-request; it is unique for the life of the process.
type SubID struct {
	// Search is Config.ID of its search.
	Search uint64
	// Attempt is the index of the sub-request within its search, from 0.
	Attempt uint32
}

// String returns the form that is used on the wire and in golden files.
func (id SubID) String() string {
	return fmt.Sprintf("%d.%d", id.Search, id.Attempt)
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EvReply is a server's reply with the hits of a shard.
	EvReply EventKind = iota + 1
	// EvRefused is a server's statement that it did not run the sub-request.
	EvRefused
	// EvFailed means that no reply will arrive; Sent is set if any byte of the
	// request left this VM.
	EvFailed
	// EvWake is the timer set by ActWake. It may fire late.
	EvWake
	// EvCancel means that the caller has disconnected.
	EvCancel
)

// Event is an input of a Machine.
type Event struct {
	Kind EventKind
	Sub  SubID
	// Shard, Snapshot and Shards are those that the reply states.
	Shard    int
	Snapshot uint64
	Shards   int
	Hits     []merge.Hit
	More     bool
	// Reason is the reason of a refusal or failure; it may become the answer's.
	Reason string
	// Sent is set on EvFailed if the server may have received the request.
	Sent bool
	// SnapshotGone is set on EvRefused if the server no longer holds the
	// requested snapshot.
	SnapshotGone bool
	// Elsewhere is set on EvRefused if the server is leaving or does not hold
	// the shard. The server was not overloaded, so that a retry adds no load to
	// an overloaded service.
	Elsewhere bool
	// RetryAfter is how long a server that refused asks to wait before a retry;
	// 0 if it did not say.
	RetryAfter time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActSend sends a sub-request.
	ActSend ActionKind = iota + 1
	// ActCancel cancels a sub-request that was sent.
	ActCancel
	// ActWake sets the timer for EvWake to the time At, in place of any earlier
	// setting.
	ActWake
	// ActAnswer gives the final answer.
	ActAnswer
)

// Attempt is why a sub-request is sent.
type Attempt uint8

// Kinds of attempts.
const (
	AttemptPrimary Attempt = iota + 1
	AttemptHedge
	AttemptRetry
)

// Action is an output of a Machine, for the driver to carry out.
type Action struct {
	Kind     ActionKind
	Sub      SubID
	Server   view.ServerID
	Shard    int
	Snapshot uint64
	// Deadline is the time after which the reply is not used.
	Deadline time.Duration
	Attempt  Attempt
	// Reason of a retry is how the previous attempt ended.
	Reason string
	// Started is set on ActCancel: when the sub-request was sent. The time since
	// then is a lower bound of its latency, which is otherwise never measured.
	Started time.Duration
	At      time.Duration
	Answer  *Answer
}

// Outcome is the result of a search.
type Outcome uint8

// Outcomes.
const (
	OutcomeComplete Outcome = iota + 1
	OutcomePartial
	OutcomeNotRun
	OutcomeUnknown
)

// Reasons of an answer that is not complete, in addition to those of refusals
// and failures.
const (
	ReasonDeadline      = "deadline"
	ReasonSoftDeadline  = "softDeadline"
	ReasonCancelled     = "cancelled"
	ReasonNoReplica     = "noReplica"
	ReasonRetryBudget   = "retryBudget"
	ReasonOtherSnapshot = "otherSnapshot"
	ReasonWrongReply    = "wrongReply"
)

// Answer is the final answer of a search.
type Answer struct {
	Outcome   Outcome
	Reason    string
	Snapshot  uint64
	Shards    int
	Answered  int
	Hits      []merge.Hit
	Truncated bool
	Primaries int
	Hedges    int
	Retries   int
	// Restarted is set if the search was restarted on a newer snapshot.
	Restarted bool
	// RetryAfter is how long after the answer the servers that refused ask to
	// wait before a retry; 0 if the answer is complete or no server said.
	RetryAfter time.Duration
}
