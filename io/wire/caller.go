package wire

import (
	"encoding/json"

	"laburnumvane/core/merge"
)

// Routes of the caller listener.
const (
	RouteSearch  = "/v1/search"
	RouteTickets = "/v1/tickets"
	RouteHealth  = "/v1/health"
)

// HeaderRequestID is the header of the caller's id of a request. The id is returned in the answer
// and logged.
const HeaderRequestID = "X-Request-Id"

// Repeat says whether a search may be run again after an attempt that may have run.
type Repeat string

// Values of Repeat.
const (
	RepeatSafe  Repeat = "safe"
	RepeatNever Repeat = "never"
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	// ID is the caller's id of the request. If it is empty, the VM generates one.
	ID     string `json:"id,omitempty"`
	Team   string `json:"team"`
	Search string `json:"search"`
	// Register may be empty. Otherwise it must be the register of the search's configuration.
	Register string          `json:"register,omitempty"`
	Query    json.RawMessage `json:"query"`
	// DeadlineMs counts from the arrival of the request. A 0 is omitted when encoded; a VM
	// refuses a request that contains it.
	DeadlineMs  int64    `json:"deadlineMs,omitempty"`
	MinCoverage *float64 `json:"minCoverage,omitempty"`
	Repeat      Repeat   `json:"repeat,omitempty"`
	Ticket      string   `json:"ticket,omitempty"`
}

// Outcome is the result of a search.
type Outcome string

// Outcomes of a search. NotRun guarantees that no shard ran any part of it.
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
	// Truncated is set if there were more hits than the limit allows.
	Truncated bool    `json:"truncated,omitempty"`
	ElapsedMs float64 `json:"elapsedMs"`
	// RetryAfterMs is the time after which a refused caller may try again.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	Work         Work  `json:"work"`
}

// Coverage says how many of the pinned snapshot's shards are in the answer.
type Coverage struct {
	Shards   int     `json:"shards"`
	Answered int     `json:"answered"`
	Share    float64 `json:"share"`
}

// Work counts the sub-requests that a search sent.
type Work struct {
	Primaries int `json:"primaries"`
	Hedges    int `json:"hedges"`
	Retries   int `json:"retries"`
}

// Hit is one found member.
type Hit = merge.Hit

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Team  string `json:"team"`
	Count int    `json:"count,omitempty"`
}

// TicketReply lists tickets, each valid for one search that must not be repeated.
type TicketReply struct {
	Tickets []string `json:"tickets"`
	// ExpiresMs counts from the time of the reply.
	ExpiresMs int64 `json:"expiresMs"`
}

// ErrorReply is the body of every refusal that is not a SearchAnswer.
type ErrorReply struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
	// Path is the name of the invalid field, if there is one.
	Path string `json:"path,omitempty"`
	// ID is the request's id, if the request is a search.
	ID string `json:"id,omitempty"`
}
