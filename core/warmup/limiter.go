package warmup

import (
	"math"
	"sync"
	"time"

	"laburnumvane/core/origin"
	"laburnumvane/core/retry"
)

const (
	// window is the interval to which a server's bound applies.
	window = time.Second
	// transitMargin is how much longer than window a request is counted: a later request may
	// reach the server in slightly less time than an earlier one.
	transitMargin = 20 * time.Millisecond
	// minAskBackoff is how long an owner is not asked again after it denied a request. It
	// doubles with each further denial up to maxAskBackoff: if the only servers of a shard
	// are denied, the servers of all other shards have done useless work for that request.
	minAskBackoff = 200 * time.Millisecond
	maxAskBackoff = 2 * time.Second
)

// Bounds turn a server's configured rate during warm-up into the bound that is enforced.
type Bounds struct {
	// Overage multiplies the rate; Slack is a number of requests that is added to the
	// product.
	Overage float64
	Slack   float64
}

// Max returns how many requests a server may get within any second; perSecond is its
// configured rate.
func (bo Bounds) Max(perSecond float64) int {
	// Without the tolerance a product that rounding puts slightly below a whole number would
	// lose one request.
	const tolerance = 1e-9
	return int(math.Floor(perSecond*bo.Overage + bo.Slack + tolerance))
}

// Limiter counts the requests that this VM sends to servers that warm up. It is safe for
// concurrent use.
type Limiter struct {
	mu      sync.Mutex
	servers map[origin.Process]*serverState
	// eligible is set, since eligibleSince, while this VM's entry is in a fresh copy of the
	// store. It expires at eligibleUntil unless ObserveStore renews it.
	eligible                     bool
	eligibleSince, eligibleUntil time.Duration
	// copyAsOf is the time as of which this VM's copy of the store was current.
	copyAsOf time.Duration
	// probes are the recent probes of VMs in other data centres.
	probes []probe
}

// serverState is what the Limiter holds of one server.
type serverState struct {
	// times are when the requests of the last window were sent.
	times []time.Duration
	// askAt is when the server's owner may be asked again. denials counts its consecutive
	// denials.
	askAt   time.Duration
	denials int
}

// New returns a limiter that allows no request until ObserveStore has been called for OwnerDelay.
func New() *Limiter { return &Limiter{servers: make(map[origin.Process]*serverState)} }

// Allow reports whether this VM may send one more request to a server that it owns, and counts
// it. most is the server's bound within any second.
func (li *Limiter) Allow(now time.Duration, pr origin.Process, most int) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if !li.mayActAsOwner(now) {
		return false
	}
	st := li.stateOf(pr)
	expired := 0
	for expired < len(st.times) && now-st.times[expired] > window+transitMargin {
		expired++
	}
	st.times = st.times[expired:]
	if len(st.times) >= most {
		return false
	}
	st.times = append(st.times, now)
	return true
}

// RecordReply records that a server's owner was asked to send a request, and whether it did.
func (li *Limiter) RecordReply(now time.Duration, pr origin.Process, sent bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	st := li.stateOf(pr)
	switch {
	case sent:
		st.denials, st.askAt = 0, now
	case now >= st.askAt:
		// Of several denials in flight at once only the first counts.
		st.denials++
		bo := retry.Backoff{Initial: minAskBackoff, Max: maxAskBackoff}
		st.askAt = now + bo.Wait(st.denials, 0)
	}
}

// MayAskOwner reports whether a server's owner may be asked to send a request, that is whether no
// backoff after a denial is in force.
func (li *Limiter) MayAskOwner(now time.Duration, pr origin.Process) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	st, ok := li.servers[pr]
	return !ok || now >= st.askAt
}

func (li *Limiter) stateOf(pr origin.Process) *serverState {
	st, ok := li.servers[pr]
	if !ok {
		st = &serverState{}
		li.servers[pr] = st
	}
	return st
}

// Retain deletes the state of all servers that are not in the directory.
func (li *Limiter) Retain(dir *origin.Directory) {
	li.mu.Lock()
	defer li.mu.Unlock()
	for pr := range li.servers {
		if !dir.Has(pr) {
			delete(li.servers, pr)
		}
	}
}
