package quota

import (
	"cmp"
	"slices"
	"time"

	"laburnumvane/core/acct"
)

// Usage is the use of an account on this VM.
type Usage struct {
	// Account is the account's name. It is empty for the sum of all that are not listed.
	Account string `json:"account"`
	// Granted counts requests that got a token, Returned those of them that did not run. Refused
	// counts requests above the limit, Unreachable those refused for lack of a reachable holder.
	Granted     int64 `json:"granted"`
	Returned    int64 `json:"returned"`
	Refused     int64 `json:"overLimit"`
	Unreachable int64 `json:"noLimitHolder"`
	// Lent are the tokens given to other VMs.
	Lent float64 `json:"lent"`
	// RequestRate is the recent number of requests per second on this VM, including those refused.
	RequestRate float64 `json:"ratePerS"`
	// Limit and Burst are the account's limit, Part this VM's part of the rate and Level its tokens
	// now. Holder is set if this VM has a part.
	Limit  float64 `json:"limitPerS"`
	Burst  float64 `json:"burst"`
	Part   float64 `json:"partPerS"`
	Level  float64 `json:"level"`
	Holder bool    `json:"holder"`

	began time.Duration
}

// requests counts the requests of an account, to find the largest ones.
func (us *Usage) requests() int64 { return us.Granted + us.Refused + us.Unreachable }

// addCounts adds the counters of another account.
func (us *Usage) addCounts(other *Usage) {
	us.Granted += other.Granted
	us.Returned += other.Returned
	us.Refused += other.Refused
	us.Unreachable += other.Unreachable
	us.Lent += other.Lent
}

// usageAt returns the use of an account.
func (st *state) usageAt(now time.Duration) Usage {
	st.advance(now)
	us := st.counts
	us.Account, us.Limit, us.Burst, us.Level = st.name, st.rate, st.burst, st.available()
	us.Part, us.Holder, us.RequestRate = st.part.refill, st.part.holds, st.demand.value(now)
	return us
}

// Usage lists the accounts that were active lately with most requests, at most limit, and the sum of
// all others since the start.
func (li *Limiter) Usage(now time.Duration, limit int) (largest []Usage, others Usage) {
	li.mu.Lock()
	defer li.mu.Unlock()
	all := make([]Usage, 0, len(li.accounts))
	for _, st := range li.accounts {
		all = append(all, st.usageAt(now))
	}
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.requests(), a.requests()), cmp.Compare(a.Account, b.Account))
	})
	others = li.removed
	for i := min(limit, len(all)); i < len(all); i++ {
		others.addCounts(&all[i])
	}
	return all[:min(limit, len(all))], others
}

// UsageOf returns the use of one account; it is zero if the account was not active lately.
func (li *Limiter) UsageOf(now time.Duration, ac *acct.Account) Usage {
	li.mu.Lock()
	defer li.mu.Unlock()
	if st, ok := li.accounts[ac.Name]; ok {
		return st.usageAt(now)
	}
	return Usage{Account: ac.Name, Limit: ac.Rate, Burst: ac.Burst}
}
