package quota

import (
	"cmp"
	"slices"
	"time"
)

// Usage is the use of an account on this VM since Began.
type Usage struct {
	Account string
	Began   time.Duration
	// Granted counts requests that got a token, Returned those of them that did not run. Refused
	// counts requests above the limit, Unreachable those refused for lack of a reachable holder.
	Granted, Returned, Refused, Unreachable int64
	// Lent are the tokens given to other VMs.
	Lent float64
	// RequestRate is the recent number of requests per second on this VM, including those refused.
	RequestRate float64
	// Limit, Burst and Level are the account's limit and this VM's tokens; Holder is set if this
	// VM has a part of it, which is Part of the rate.
	Limit, Burst, Level, Part float64
	Holder                    bool
}

// Usage lists the accounts that were active lately, the busiest first, at most limit.
func (li *Limiter) Usage(now time.Duration, limit int) []Usage {
	li.mu.Lock()
	defer li.mu.Unlock()
	all := make([]Usage, 0, len(li.accounts))
	for _, st := range li.accounts {
		st.advance(now)
		us := st.usage
		us.Account, us.Limit, us.Burst, us.Level = st.name, st.rate, st.burst, st.available()
		us.Part, us.Holder, us.RequestRate = st.part.refill, st.part.holds, st.demand.value(now)
		all = append(all, us)
	}
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.RequestRate, a.RequestRate), cmp.Compare(a.Account, b.Account))
	})
	return all[:min(limit, len(all))]
}
