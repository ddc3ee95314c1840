// Package budget limits extra work to a share of the primary work: each primary request earns a
// fraction of a token, and each extra request, such as a hedge, spends a whole one.
//
// # Usage
//
//	bu := budget.New(budget.Config{Share: 0.03, Burst: 20})
//	bu.Earn(270)
//	if bu.Spend() {
//		// send the hedge
//	}
//
// A Budget is safe for concurrent use.
package budget

import "sync/atomic"

// scale is the number of units per token. Fractions of tokens are kept as whole units, so that a
// single atomic add suffices.
const scale = 1 << 20

// Config holds the parameters of a Budget.
type Config struct {
	// Share is the number of tokens earned by one primary request, 0 to 1.
	Share float64
	// Burst is the maximum number of tokens kept, so that a quiet hour does not pay for a burst
	// of extra requests.
	Burst float64
	// BurstPerPrimary raises this maximum with the number of requests sent at once: to BurstPerPrimary
	// tokens for each primary request of the latest round. A lost server affects its share of many
	// rounds, however large they are.
	BurstPerPrimary float64
}

// Budget is a token bucket. Over any period it allows at most Share times the primary requests of
// that period, plus Burst, plus one Charge.
type Budget struct {
	share           int64
	burst           int64
	burstPerPrimary int64
	units           atomic.Int64
}

// New returns a budget with a full bucket.
func New(cfg Config) *Budget {
	bu := &Budget{
		share:           int64(cfg.Share * scale),
		burst:           int64(cfg.Burst * scale),
		burstPerPrimary: int64(cfg.BurstPerPrimary * scale),
	}
	bu.units.Store(bu.burst)
	return bu
}

// Earn credits n primary requests, which are sent together as one round.
func (bu *Budget) Earn(n int) {
	units := bu.share * int64(n)
	most := max(bu.burst, bu.burstPerPrimary*int64(n))
	after := bu.units.Add(units)
	if after > most {
		// Another goroutine may spend in between. Removing at most the units added above never
		// removes tokens that were there before.
		bu.units.Add(-min(after-most, units))
	}
}

// Credit adds tokens that are earned over time.
func (bu *Budget) Credit(tokens float64) {
	units := int64(tokens * scale)
	after := bu.units.Add(units)
	if after > bu.burst {
		bu.units.Add(-min(after-bu.burst, units))
	}
}

// Refund returns the token of an extra request that was not sent after all.
func (bu *Budget) Refund() {
	bu.units.Add(scale)
}

// Spend takes one token and reports whether one was available.
func (bu *Budget) Spend() bool { return bu.SpendAbove(0) }

// SpendAbove takes one token if at least reserve tokens are left after it, and reports whether it
// did.
func (bu *Budget) SpendAbove(reserve float64) bool {
	least := scale + int64(reserve*scale)
	for {
		have := bu.units.Load()
		if have < least {
			return false
		}
		// Subtracting first and adding back on failure would temporarily hide tokens from other
		// goroutines.
		if bu.units.CompareAndSwap(have, have-scale) {
			return true
		}
	}
}

// Charge takes n tokens even if fewer are available. The debt has to be earned back by later
// primary requests.
func (bu *Budget) Charge(n int) {
	bu.units.Add(-int64(n) * scale)
}

// Tokens returns the number of whole tokens left; it is negative in debt.
func (bu *Budget) Tokens() int {
	return int(bu.units.Load() / scale)
}
