package fanout

import (
	"time"

	"laburnumvane/core/origin"
)

// Verdict is the result of an attempt; 0 while it is open.
type Verdict uint8

// Verdicts.
const (
	// Served: a complete, valid answer arrived.
	Served Verdict = iota + 1
	// Failed: the server ran the request and answered with a failure.
	Failed
	// Refused: the server had no capacity and did not run the request.
	Refused
	// Elsewhere: the server is not the one addressed, or is shutting down, and did not run the
	// request.
	Elsewhere
	// Lost: no usable answer will arrive; the request may have run.
	Lost
	// Unsent: no byte of the request left this VM.
	Unsent
	// Doubted: the VM that was to forward the request advises using another server. Nothing was
	// sent.
	Doubted
)

// MayHaveRun reports whether a request with this verdict has to be treated as run.
func (ve Verdict) MayHaveRun() bool {
	return ve == Served || ve == Failed || ve == Lost
}

// String returns the verdict's name in logs and counters; "open" if there is none yet.
func (ve Verdict) String() string {
	switch ve {
	case Served:
		return "served"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case Elsewhere:
		return "elsewhere"
	case Lost:
		return "lost"
	case Unsent:
		return "unsent"
	case Doubted:
		return "doubted"
	}
	return "open"
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EvResult reports the verdict on an attempt.
	EvResult EventKind = iota + 1
	// EvWake is the timer event at the time returned by Wake, or later.
	EvWake
	// EvClientGone reports that the client disconnected.
	EvClientGone
)

// Event is an input to a Machine.
type Event struct {
	Kind    EventKind
	Attempt int
	Verdict Verdict
	// Broken is set along with Lost if the server ended the connection: the request may have
	// crashed it.
	Broken bool
}

// Cause is the reason why an attempt is made.
type Cause uint8

// Causes.
const (
	// CauseFirst: the first attempt to reach the shard's service.
	CauseFirst Cause = iota + 1
	// CauseHedge: an earlier attempt is late.
	CauseHedge
	// CauseRetry: an earlier attempt failed.
	CauseRetry
)

// String returns the cause's name in logs and counters.
func (ca Cause) String() string {
	switch ca {
	case CauseHedge:
		return "hedge"
	case CauseRetry:
		return "retry"
	}
	return "first"
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActSend sends an attempt.
	ActSend ActionKind = iota + 1
	// ActDrop reports that the answer to an attempt is no longer needed.
	ActDrop
	// ActAnswer gives the final answer.
	ActAnswer
)

// Action is something that the caller of the Machine has to carry out.
type Action struct {
	Kind     ActionKind
	Attempt  int
	Shard    int
	Upstream *origin.Upstream
	Cause    Cause
	// After is the verdict on the shard's previous attempt, for a retry.
	After Verdict
	// Trial is set for an attempt that shows whether the request crashes servers.
	Trial  bool
	Answer Answer
}

// Outcome is the final result of a request.
type Outcome uint8

// Outcomes.
const (
	// OutcomeServed: Winners holds the attempts whose answers form the answer.
	OutcomeServed Outcome = iota + 1
	// OutcomeFailed: the request may have run.
	OutcomeFailed
	// OutcomeNotRun: the request did not run and will not run.
	OutcomeNotRun
	// OutcomeClientGone: the client disconnected before there was an answer.
	OutcomeClientGone
)

// String returns the outcome's name in logs and counters.
func (oc Outcome) String() string {
	switch oc {
	case OutcomeServed:
		return "served"
	case OutcomeFailed:
		return "failed"
	case OutcomeNotRun:
		return "notRun"
	case OutcomeClientGone:
		return "gone"
	}
	return "open"
}

// Reasons for an answer that is incomplete or a failure.
const (
	ReasonDeadline   = "deadline"
	ReasonTarget     = "target"
	ReasonNoUpstream = "noUpstream"
	ReasonBudget     = "retryBudget"
	ReasonAttempts   = "attempts"
	ReasonMayHaveRun = "mayHaveRun"
	ReasonClientGone = "clientGone"
	// ReasonCrashes: several servers in a row crashed under the request.
	ReasonCrashes = "crashesServers"
)

// Answer is the final answer to a request.
type Answer struct {
	Outcome Outcome
	// Reason is why the answer is incomplete or failed; empty if it is complete.
	Reason string
	// Winners are the attempts whose answers form this one, in the order of the shards. The slice
	// is valid until the machine's next step.
	Winners []int
	Missing int
	// ShownFailure is the attempt whose failure may be passed on to the client as it is, or -1.
	ShownFailure int
	// NoCapacity is set if a server refused the request for lack of capacity.
	NoCapacity bool
	// Attempts counts all attempts, Hedges and Retries those beyond the first of a shard.
	Attempts int
	Hedges   int
	Retries  int
	At       time.Duration
	// Lacked is set if the request lacked capacity, for the last time at LackedAt.
	Lacked   bool
	LackedAt time.Duration
}
