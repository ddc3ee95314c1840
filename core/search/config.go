package search

import (
	"time"

	"laburnumvane/core/view"
)

// Chooser picks a server for a shard, none of tried.
type Chooser interface {
	Pick(replicas, tried []view.ServerID) (view.ServerID, bool)
}

// Budget allows or denies extra work.
type Budget interface {
	Earn(n int)
	Spend() bool
	Refund()
}

// Config sets one search. All fields are required but Newer.
type Config struct {
	// Number is unique over the life of the process.
	Number uint64
	// Snapshot is the one pinned.
	Snapshot view.Snapshot
	// Newer returns a whole snapshot newer than the one given, for a restart.
	Newer func(version uint64) (view.Snapshot, bool)
	// Soft and Hard are the times at which the answer goes out: with enough
	// coverage, or with what there is.
	Soft        time.Duration
	Hard        time.Duration
	MinCoverage float64
	// Once means that no shard may run the search twice.
	Once     bool
	HitLimit int
	Chooser  Chooser
	// HedgeDelay is how long an attempt may take before it is hedged; 0 turns
	// hedging off.
	HedgeDelay time.Duration
	// HedgeLast is the number of shards still missing at which hedging begins.
	HedgeLast   int
	HedgeBudget Budget
	RetryBudget Budget
	// RetryPerShard bounds the attempts after the first on one shard.
	RetryPerShard int
	// LeastTime is the time below which nothing is sent any more: a reply
	// could not be back before the deadline.
	LeastTime time.Duration
}
