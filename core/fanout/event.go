package fanout

import (
	"time"

	"laburnumvane/core/origin"
)

// Verdict says what an attempt came to.
type Verdict uint8

// Verdicts.
const (
	// Served: a whole answer that counts.
	Served Verdict = iota + 1
	// Failed: the server answered that it failed; it ran.
	Failed
	// Refused: the server said that it had no room and did not run it.
	Refused
	// Elsewhere: the server said that it is not the one meant, or is leaving,
	// and did not run it.
	Elsewhere
	// Lost: no answer that can be used will come; it may have run.
	Lost
	// Unsent: no byte of it left this VM.
	Unsent
	// Doubted: the VM that should have sent it advises another server. Nothing was sent.
	Doubted
)

// MayHaveRun tells whether an attempt with that verdict counts as run.
func (ve Verdict) MayHaveRun() bool {
	return ve == Served || ve == Failed || ve == Lost
}

// String is the verdict's name in logs and counters.
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

// EventKind tells the kinds of events apart.
type EventKind uint8

// Kinds of events.
const (
	// EvResult brings the verdict on an attempt.
	EvResult EventKind = iota + 1
	// EvWake comes at the time that Wake named, or later.
	EvWake
	// EvGone tells that the client left.
	EvGone
)

// Event is what happened to a request.
type Event struct {
	Kind    EventKind
	Attempt int
	Verdict Verdict
	// Broken is set with Lost if the server ended the connection: the request may have
	// crashed it.
	Broken bool
}

// Cause says why an attempt is made.
type Cause uint8

// Causes.
const (
	// CauseFirst is the first attempt that reaches the shard's service.
	CauseFirst Cause = iota + 1
	// CauseHedge follows an attempt that is late.
	CauseHedge
	// CauseRetry follows one that failed.
	CauseRetry
)

// String is the cause's name in logs and counters.
func (ca Cause) String() string {
	switch ca {
	case CauseHedge:
		return "hedge"
	case CauseRetry:
		return "retry"
	}
	return "first"
}

// ActionKind tells the kinds of actions apart.
type ActionKind uint8

// Kinds of actions.
const (
	// ActSend sends an attempt.
	ActSend ActionKind = iota + 1
	// ActDrop tells that an attempt's answer is not needed any more.
	ActDrop
	// ActAnswer gives the final answer.
	ActAnswer
)

// Action is what a request wants done.
type Action struct {
	Kind     ActionKind
	Attempt  int
	Shard    int
	Upstream *origin.Upstream
	Cause    Cause
	// After is the verdict on the attempt before, for a retry.
	After Verdict
	// Trial is set for an attempt that shows whether the request crashes servers.
	Trial  bool
	Answer Answer
}

// Outcome says what became of a request.
type Outcome uint8

// Outcomes.
const (
	// OutcomeServed: Winners holds the attempts that make up the answer.
	OutcomeServed Outcome = iota + 1
	// OutcomeFailed: it may have run.
	OutcomeFailed
	// OutcomeNotRun: it did not run and never will.
	OutcomeNotRun
	// OutcomeGone: the client left before there was an answer.
	OutcomeGone
)

// String is the outcome's name in logs and counters.
func (oc Outcome) String() string {
	switch oc {
	case OutcomeServed:
		return "served"
	case OutcomeFailed:
		return "failed"
	case OutcomeNotRun:
		return "notRun"
	case OutcomeGone:
		return "gone"
	}
	return "open"
}

// Reasons of an answer that is not whole.
const (
	ReasonDeadline   = "deadline"
	ReasonTarget     = "target"
	ReasonNoUpstream = "noUpstream"
	ReasonBudget     = "retryBudget"
	ReasonAttempts   = "attempts"
	ReasonOnce       = "mayHaveRun"
	ReasonGone       = "clientGone"
	// ReasonCrashes: servers ended under the request, one after the other.
	ReasonCrashes = "crashesServers"
)

// Answer is the final answer.
type Answer struct {
	Outcome Outcome
	// Reason is why it is not whole; empty if it is.
	Reason string
	// Winners are the attempts whose answers make up this one, by shard. The
	// list is valid until the machine's next step.
	Winners []int
	Missing int
	// Shown is the attempt whose failure the client may be shown as it is, or
	// -1.
	Shown int
	// Full is set if a server had no room for it.
	Full bool
	// Attempts counts all, Hedges and Retries those beyond the first.
	Attempts int
	Hedges   int
	Retries  int
	At       time.Duration
}
