package fanout

import (
	"time"

	"laburnumvane/core/origin"
)

// Ask is what a server is picked for.
type Ask struct {
	Shard int
	// Tried are the servers that are no choice.
	Tried []*origin.Upstream
	// First is set if nothing of the request has reached the shard's service.
	First bool
	// Trial is set for one that shows whether the request crashes servers: rather a server at
	// which no other request is tried.
	Trial bool
}

// Chooser picks a server of a shard.
type Chooser interface {
	Pick(now time.Duration, ask Ask) (*origin.Upstream, bool)
}

// Budget allows or denies an attempt beyond the first that reaches a service.
// Needed is set where the request fails if no further shard answers than those
// that still can without it.
type Budget interface {
	Spend(shard int, needed bool) bool
}

// Config sets one request. All times are on the clock of now.
type Config struct {
	// Shards is the number of services that the request goes to.
	Shards int
	// MinParts is the least number of them in an answer.
	MinParts   int
	Idempotent bool
	// MaxAttempts is the number of servers of one shard on which the request
	// may run.
	MaxAttempts int
	// Target is when an answer of enough shards goes out without the rest.
	Target time.Duration
	// Hard is when the final answer goes out, whatever is missing.
	Hard time.Duration
	// HedgeAfter is how long an attempt may take before another server is
	// asked too; 0 turns that off.
	HedgeAfter time.Duration
	// LeastTime is what an attempt needs at least; nothing is sent later than
	// that before Hard.
	LeastTime time.Duration
	// Suspect is set for a request under which servers ended before: it goes to one
	// server first.
	Suspect bool
	// TrialGap is how long it takes until it is known what a trial showed, and Blocked tells
	// whether the request is known to crash servers by now. Nil is never.
	TrialGap time.Duration
	Blocked  func() bool
	// Draw is uniform within 0 to 1; it chooses the shard of a trial.
	Draw    func() float64
	Chooser Chooser
	Budget  Budget
}
