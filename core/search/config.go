package search

import (
	"time"

	"laburnumvane/core/view"
)

// Chooser picks one of the replicas that is not in tried; false if there is none.
// It must not retain tried.
type Chooser interface {
	Pick(replicas, tried []view.ServerID) (view.ServerID, bool)
}

// Budget is a token bucket that limits hedges and retries.
type Budget interface {
	// Earn credits the budget for n primary sub-requests.
	Earn(n int)
	// Spend takes one token and reports whether there was one.
	Spend() bool
	// Refund returns the token of a sub-request that was not sent after all.
	Refund()
	// Charge takes n tokens even if the balance becomes negative.
	Charge(n int)
}

// Config configures one search. All fields are required except Newer and those
// whose comment names a value that turns them off.
type Config struct {
	// ID identifies the search; it is unique for the life of the process.
	ID uint64
	// Snapshot is the pinned snapshot: the one that shards are asked for.
	Snapshot view.Snapshot
	// Newer returns a complete snapshot newer than version, for a restart; false
	// if none is known.
	Newer func(version uint64) (view.Snapshot, bool)
	// SoftDeadline is the time at which an answer with at least MinCoverage is given.
	// HardDeadline is the time at which an answer is given whatever its coverage.
	SoftDeadline time.Duration
	HardDeadline time.Duration
	MinCoverage  float64
	// AtMostOnce forbids any shard to run the search twice.
	AtMostOnce bool
	HitLimit   int
	Chooser    Chooser
	// HedgeDelay is how long an attempt may take before a hedge is sent; 0 turns
	// hedging off.
	HedgeDelay time.Duration
	// LostDelay is how long an attempt may take before its hedge may spend a
	// token of RetryBudget; 0 means never. It is meant for a server that no
	// longer answers and holds a large part of the shards.
	LostDelay   time.Duration
	HedgeBudget Budget
	RetryBudget Budget
	// RetryPerShard limits the retries of one shard after attempts that may have
	// cost a server work. Retries after attempts that cost nothing are limited
	// by the number of replicas.
	RetryPerShard int
	// MinTimeLeft is the time that must remain until HardDeadline for a sub-request to be
	// sent: with less, its reply could not arrive before the deadline.
	MinTimeLeft time.Duration
}
