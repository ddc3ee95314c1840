// Package budget bounds extra work: each primary request earns a fraction of a
// token, each extra request spends a whole one.
//
// # Usage
//
//	bu := budget.New(budget.Config{Share: 0.03, Burst: 20})
//	bu.Earn(270)
//	if bu.Spend() {
//		// send the hedge
//	}
//
// A Budget may be used from many goroutines.
package budget

import "sync/atomic"

// scale is the number of units in a token: fractions are kept as whole units so
// that one atomic add suffices.
const scale = 1 << 20

// Config sizes a budget.
type Config struct {
	// Share is the tokens earned by one primary, 0 to 1.
	Share float64
	// Burst is the most tokens kept, so that a quiet hour does not pay for a
	// storm.
	Burst float64
}

// Budget is a bucket of tokens. The work it allows over any time is at most
// Share times the primaries of that time, plus Burst.
type Budget struct {
	earn  int64
	most  int64
	units atomic.Int64
}

// New makes a budget with a full bucket.
func New(cfg Config) *Budget {
	bu := &Budget{
		earn: int64(cfg.Share * scale),
		most: int64(cfg.Burst * scale),
	}
	bu.units.Store(bu.most)
	return bu
}

// Earn credits n primaries.
func (bu *Budget) Earn(n int) {
	after := bu.units.Add(bu.earn * int64(n))
	if after > bu.most {
		// Another goroutine may spend in between; taking off only the
		// surplus seen here never takes a token that was spent.
		bu.units.Add(bu.most - after)
	}
}

// Spend takes one token and tells whether there was one.
func (bu *Budget) Spend() bool {
	if bu.units.Add(-scale) >= 0 {
		return true
	}
	bu.units.Add(scale)
	return false
}

// Refund returns the token of an extra request that cost nobody any work.
func (bu *Budget) Refund() {
	bu.units.Add(scale)
}

// Tokens is the number of whole tokens left.
func (bu *Budget) Tokens() int {
	return int(bu.units.Load() / scale)
}
