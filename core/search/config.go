package search

import (
	"time"

	"laburnumvane/core/view"
)

// Chooser picks a server for a shard, none of tried. It must not keep tried.
type Chooser interface {
	Pick(replicas, tried []view.ServerID) (view.ServerID, bool)
}

// Budget allows or denies extra work.
type Budget interface {
	// Earn credits n primaries.
	Earn(n int)
	// Spend takes one token and tells whether there was one.
	Spend() bool
	// Refund returns the token of work that was not sent after all.
	Refund()
	// Charge takes n tokens, also where that leaves a debt.
	Charge(n int)
}

// Config sets one search. All fields are required but Newer and those that
// name a value which turns them off.
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
	// LostDelay is how long an attempt may take before a hedge may use a
	// retry's token; 0 means never. It is meant for a server that went silent
	// and takes a large part of the shards with it.
	LostDelay   time.Duration
	HedgeBudget Budget
	RetryBudget Budget
	// RetryPerShard bounds the attempts on one shard that follow one which
	// may have cost a server work. Attempts after one that cost nothing are
	// bounded by the number of replicas.
	RetryPerShard int
	// LeastTime is the time below which nothing is sent any more: a reply
	// could not be back before the deadline.
	LeastTime time.Duration
}
