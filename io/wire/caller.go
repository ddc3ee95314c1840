package wire

import (
	"encoding/json"

	"laburnumvane/core/merge"
)

// Routes of the callers' listener.
const (
	RouteSearch  = "/v1/search"
	RouteTickets = "/v1/tickets"
	RouteHealth  = "/v1/health"
)

// HeaderRequestID carries the caller's own id of a request. It is echoed in the
// answer's body and in the log.
const HeaderRequestID = "X-Request-Id"

// Repeat says whether a search may be run again after a doubtful attempt.
type Repeat string

// The two kinds of repetition a caller can allow.
const (
	RepeatSafe  Repeat = "safe"
	RepeatNever Repeat = "never"
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	// ID is the caller's name for the request; empty lets the VM choose one.
	ID     string `json:"id,omitempty"`
	Team   string `json:"team"`
	Search string `json:"search"`
	// Register may be empty: the search's configuration then names it.
	Register string          `json:"register,omitempty"`
	Query    json.RawMessage `json:"query"`
	// DeadlineMs counts from the arrival of the request; 0 is left out when
	// encoded, and is refused when it arrives.
	DeadlineMs  int64    `json:"deadlineMs,omitempty"`
	MinCoverage *float64 `json:"minCoverage,omitempty"`
	Repeat      Repeat   `json:"repeat,omitempty"`
	Ticket      string   `json:"ticket,omitempty"`
}

// Outcome says what became of a search.
type Outcome string

// Outcomes of a search. NotRun promises that no shard ran any part of it.
const (
	OutcomeComplete Outcome = "complete"
	OutcomePartial  Outcome = "partial"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeUnknown  Outcome = "unknown"
)

// SearchAnswer is the body of every reply to POST /v1/search.
type SearchAnswer struct {
	ID       string   `json:"id"`
	Outcome  Outcome  `json:"outcome"`
	Reason   string   `json:"reason,omitempty"`
	Message  string   `json:"message,omitempty"`
	Snapshot uint64   `json:"snapshot,omitempty"`
	Coverage Coverage `json:"coverage"`
	Hits     []Hit    `json:"hits"`
	// Truncated is set where more hits were found than the limit allows.
	Truncated bool    `json:"truncated,omitempty"`
	ElapsedMs float64 `json:"elapsedMs"`
	// RetryAfterMs tells a refused caller when to come back.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	Work         Work  `json:"work"`
}

// Coverage is the share of the pinned snapshot's shards in the answer.
type Coverage struct {
	Shards   int     `json:"shards"`
	Answered int     `json:"answered"`
	Share    float64 `json:"share"`
}

// Work counts the sub-requests that a search cost.
type Work struct {
	Primaries int `json:"primaries"`
	Hedges    int `json:"hedges"`
	Retries   int `json:"retries"`
}

// Hit is one member found.
type Hit = merge.Hit

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Team  string `json:"team"`
	Count int    `json:"count,omitempty"`
}

// TicketReply lists tickets, each good for one must-not-repeat search.
type TicketReply struct {
	Tickets []string `json:"tickets"`
	// ExpiresMs counts from the time of the reply.
	ExpiresMs int64 `json:"expiresMs"`
}

// ErrorReply is the body of any refusal that is not an answer to a search.
type ErrorReply struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
	// Path names the offending field, where there is one.
	Path string `json:"path,omitempty"`
	// ID is the request's id, where the request is a search.
	ID string `json:"id,omitempty"`
}
