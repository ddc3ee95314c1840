package admit

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a Gate before its jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryJitter is by how much a Retry-After varies in both directions; fullLeast is the least
	// share of maxRetryAfter that is given once there are more retries than fit into that time.
	retryJitter = 0.1
	fullLeast   = 0.2
	// minSpare is the least share of the capacity that is assumed to be left for retries.
	minSpare = 0.25
)

// retrySlots spreads the retries of refused requests over the time needed to serve them.
type retrySlots struct {
	// next is the time for which the next retry is asked.
	next   time.Duration
	jitter uint32
}

// retryAfter returns the estimated time until there is room for a refused request: after what
// waits now, and after the retries of the requests that were refused before. Only what arriving
// requests leave of the capacity serves retries.
func (ga *Gate[W]) retryAfter(ar Arrival, wait time.Duration) time.Duration {
	rate := ga.pace.Rate()
	spare := max(rate-ga.startedRate(), minSpare*rate)
	rt := &ga.retry
	rt.next = max(rt.next, ga.now+max(wait, minRetryAfter)) + seconds(ar.Cost/spare)
	const goldenStep = 2654435769 // steps of the golden ratio spread successive values evenly
	rt.jitter += goldenStep
	draw := float64(rt.jitter) / (1 << 32)
	if last := ga.now + maxRetryAfter; rt.next > last {
		// All slots are taken: further retries are spread over them.
		rt.next = last
		return time.Duration((fullLeast + (1-fullLeast)*draw) * float64(maxRetryAfter))
	}
	return time.Duration((1 - retryJitter + 2*retryJitter*draw) * float64(rt.next-ga.now))
}

// startedRate is the cost that was started lately per second.
func (ga *Gate[W]) startedRate() float64 {
	sum := 0.0
	for _, su := range ga.started {
		sum += su.Rate(ga.now, shareTime)
	}
	return sum
}

// State is what a Gate knows, for log lines and for other VMs.
type State struct {
	// Waiting counts requests and Accounts those accounts that have some waiting.
	Waiting, Accounts int
	// Kept counts the accounts that had requests lately, by priority, and Routes the routes of
	// which something is kept.
	Kept, Routes int
	// InProgress and Window are costs; Rate and Work costs per second: what this VM can do, and
	// what it completed.
	InProgress, Window, Rate, Work float64
	// Delay is the delay of this VM's run queue; Behind is set if it is too long.
	Delay  time.Duration
	Behind bool
	// Wait is how long what waits now takes to start.
	Wait time.Duration
}

// State returns the state at a time.
func (ga *Gate[W]) State(now time.Duration) State {
	ga.advance(now)
	st := State{
		Waiting: ga.count, Accounts: len(ga.waiting), Kept: ga.flows.size(), Routes: len(ga.routes), InProgress: ga.inProgress, Window: ga.pace.Window(),
		Work: ga.pace.Work(ga.now), Delay: ga.pace.Delay(), Behind: ga.pace.Behind(),
	}
	if st.Window > 0 {
		st.Rate = ga.pace.Rate()
		st.Wait = seconds(ga.queued() / st.Rate)
	}
	return st
}

// Share returns the part of the cost started lately that is an account's, 0 to 1.
func (ga *Gate[W]) Share(now time.Duration, account string, priority int) float64 {
	ga.advance(now)
	fl := ga.flows.find(ga.now, flowKey{account: account, priority: priority})
	all := ga.startedRate()
	if all == 0 {
		return 0
	}
	return min(1, fl.share.Rate(ga.now, shareTime)/all)
}
