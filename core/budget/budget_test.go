package budget_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/budget"
)

// For any interleaving of primary and extra requests, the extra ones stay within their share of
// the primary ones so far, plus the burst.
func TestBudgetLimitsExtraRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.03, 0.1, 1}).Draw(rt, "share")
		burst := float64(rapid.IntRange(0, 20).Draw(rt, "burst"))
		bu := budget.New(budget.Config{Share: share, Burst: burst})
		primaries, extra := 0, 0
		for range rapid.IntRange(0, 200).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "earn") {
				n := rapid.IntRange(1, 30).Draw(rt, "n")
				primaries += n
				bu.Earn(n)
				continue
			}
			if bu.Spend() {
				extra++
			}
			if float64(extra) > share*float64(primaries)+burst {
				rt.Fatalf("%d extra requests for %d primary ones", extra, primaries)
			}
		}
	})
}

func TestBudgetDebt(t *testing.T) {
	is := is.New(t)
	bu := budget.New(budget.Config{Share: 0.5, Burst: 2})
	bu.Charge(4)
	is.Equal(bu.Tokens(), -2)
	bu.Earn(4)
	is.Equal(bu.Spend(), false) // the debt is paid, but no token is left
	bu.Earn(2)
	is.Equal(bu.Spend(), true)
	bu.Refund()
	is.Equal(bu.Tokens(), 1)
}

// Many goroutines spend at once: no token is granted twice, and none is lost.
func TestBudgetConcurrentSpend(t *testing.T) {
	is := is.New(t)
	const tokens, workers = 1000, 8
	bu := budget.New(budget.Config{Share: 1, Burst: tokens})
	var granted atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range tokens {
				if bu.Spend() {
					granted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(granted.Load(), int64(tokens))
	is.Equal(bu.Tokens(), 0)
}

// A round of 270 sub-requests needs a larger bucket than one of ten: the maximum grows with the
// round, but tokens still have to be earned.
func TestBudgetGrowsWithRound(t *testing.T) {
	is := is.New(t)
	bu := budget.New(budget.Config{Share: 0.1, Burst: 50, BurstPerPrimary: 5})
	bu.Earn(10)
	is.Equal(bu.Tokens(), 50)
	for range 100 {
		bu.Earn(270)
	}
	is.Equal(bu.Tokens(), 1350)
	bu.Earn(10)
	is.Equal(bu.Tokens(), 1350) // a small round adds nothing beyond its own maximum, and removes nothing
}

// Less important requests must leave tokens for more important ones.
func TestBudgetReserve(t *testing.T) {
	is := is.New(t)
	bu := budget.New(budget.Config{Share: 0.5, Burst: 3})
	is.True(bu.SpendAbove(2))
	is.True(!bu.SpendAbove(2))
	is.True(bu.SpendAbove(1))
	is.True(!bu.SpendAbove(0.5))
	is.True(bu.Spend())
	is.Equal(bu.Tokens(), 0)
}
