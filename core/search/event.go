package search

import (
	"fmt"
	"time"

	"laburnumvane/core/merge"
	"laburnumvane/core/view"
)

// SubID names one sub-request; it is unique over the life of the process.
type SubID struct {
	// Search is the search's own number within the process.
	Search uint64
	// Attempt counts the sub-requests of that search.
	Attempt uint32
}

// String is the form used on the wire and in golden sessions.
func (id SubID) String() string {
	return fmt.Sprintf("%d.%d", id.Search, id.Attempt)
}

// EventKind tells the kinds of events apart.
type EventKind uint8

// Kinds of events.
const (
	// EvReply brings a shard's hits.
	EvReply EventKind = iota + 1
	// EvRefused brings a server's word that the sub-request did not run.
	EvRefused
	// EvFailed tells that no reply will come; Sent tells whether any byte of
	// the request left this VM.
	EvFailed
	// EvWake comes at the time that ActWake named, or later.
	EvWake
	// EvCancel tells that the caller is gone.
	EvCancel
)

// Event is what happened to a search.
type Event struct {
	Kind EventKind
	Sub  SubID
	// Shard, Snapshot and Shards are the reply's own account.
	Shard    int
	Snapshot uint64
	Shards   int
	Hits     []merge.Hit
	More     bool
	// Reason of a refusal or failure, for the answer's reason.
	Reason string
	// Sent is set on EvFailed if the request may have reached the server.
	Sent bool
	// SnapshotGone is set on EvRefused if the server no longer holds the
	// snapshot asked for.
	SnapshotGone bool
	// Elsewhere is set on EvRefused if the server is leaving or does not hold
	// the shard: it had room, so that another try adds no load to a service
	// that has none.
	Elsewhere bool
	// RetryAfter is when a server that refused wants to be asked again; 0 if
	// it gave no hint.
	RetryAfter time.Duration
}

// ActionKind tells the kinds of actions apart.
type ActionKind uint8

// Kinds of actions.
const (
	// ActSend sends a sub-request.
	ActSend ActionKind = iota + 1
	// ActCancel gives up a sub-request that was sent.
	ActCancel
	// ActWake asks for EvWake at the time At. A later one replaces it.
	ActWake
	// ActAnswer gives the final answer.
	ActAnswer
)

// Attempt says why a sub-request is sent.
type Attempt uint8

// Reasons to send.
const (
	AttemptPrimary Attempt = iota + 1
	AttemptHedge
	AttemptRetry
)

// Action is what a search wants done.
type Action struct {
	Kind     ActionKind
	Sub      SubID
	Server   view.ServerID
	Shard    int
	Snapshot uint64
	// Deadline is when the reply is of no use any more.
	Deadline time.Duration
	Attempt  Attempt
	// Reason of a retry: what became of the attempt before.
	Reason string
	// Started is when a sub-request that is given up was sent: what it took
	// so far is a latency that would otherwise never show.
	Started time.Duration
	At      time.Duration
	Answer  *Answer
}

// Outcome says what became of a search.
type Outcome uint8

// Outcomes.
const (
	OutcomeComplete Outcome = iota + 1
	OutcomePartial
	OutcomeNotRun
	OutcomeUnknown
)

// Reasons of an answer that is not complete, beside those of refusals and
// failures.
const (
	ReasonDeadline      = "deadline"
	ReasonSoft          = "softDeadline"
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
	// Restarted is set where the search began anew on a newer snapshot.
	Restarted bool
	// RetryAfter is when the servers that refused want to be asked again,
	// counted from the answer; 0 where the answer is complete or none said.
	RetryAfter time.Duration
}
