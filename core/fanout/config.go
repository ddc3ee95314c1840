package fanout

import (
	"time"

	"laburnumvane/core/origin"
)

// PickRequest describes the attempt that a server is to be picked for.
type PickRequest struct {
	Shard int
	// Tried lists the servers that must not be picked.
	Tried []*origin.Upstream
	// First is set if nothing of the request has reached the shard's service yet.
	First bool
	// Trial is set for an attempt that shows whether the request crashes servers: a server
	// without any other trial is preferred.
	Trial bool
}

// Chooser picks a server for a shard; false means that none is available.
type Chooser interface {
	Pick(now time.Duration, ask PickRequest) (*origin.Upstream, bool)
}

// Budget allows or denies each hedge and each retry.
type Budget interface {
	Spend(shard int, need Need) bool
}

// Config holds the parameters of one request. All times are on the clock of the now arguments.
type Config struct {
	// Shards is the number of services that the request is sent to.
	Shards int
	// MinParts is the minimum number of shards in an answer.
	MinParts   int
	Idempotent bool
	// MaxAttempts is the maximum number of servers per shard on which the request may run.
	MaxAttempts int
	// Target is when an answer is given without the missing shards, if at least MinParts
	// answered.
	Target time.Duration
	// HardDeadline is when the final answer is given at the latest.
	HardDeadline time.Duration
	// HedgeAfter is how long an attempt may take before a second server is asked as well; 0 turns
	// hedging off.
	HedgeAfter time.Duration
	// MaxHedges is the maximum number of shards that have a hedge in progress at the same time while
	// more than twice as many are late; 0 means no limit.
	MaxHedges int
	// MinTimeLeft is the minimum duration of an attempt; none is sent when less is left until
	// HardDeadline.
	MinTimeLeft time.Duration
	// Suspect is set if servers crashed under an earlier arrival of the same request: it is sent
	// to a single server first.
	Suspect bool
	// TrialGap is how long after a crash the result of a trial takes to become known. Blocked
	// reports whether the request is known to crash servers by now; nil means never.
	TrialGap time.Duration
	Blocked  func() bool
	// Rand returns a uniform random number in [0, 1), which selects the shard of a trial.
	Rand    func() float64
	Chooser Chooser
	Budget  Budget
	// Capacity returns what the servers of a shard can take of one more request; nil if unknown.
	Capacity func(now time.Duration, shard int) Capacity
}
