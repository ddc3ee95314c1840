package steer

import (
	"math"
	"sort"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
)

const (
	// failingRate is the share of failures from which on a server counts as one that does not
	// respond: an attempt there would more likely fail than be answered.
	failingRate = 0.5
	// refusingRate is the share of refusals from which on a server counts as full. One refusal
	// gives smoothing, and four answers after it fall below this.
	refusingRate = 0.1
	// fullQueueWait is the reported wait for a slot from which on a server counts as full, in
	// multiples of a request's duration. Shorter queues come and go without a lack of capacity.
	fullQueueWait = 1
	// lostAfter is how long a server may be silent before it counts as one that does not respond.
	// Most pauses are shorter.
	lostAfter = 200 * time.Millisecond
)

// Coverage returns the time after which at least minParts of the shards are expected to have
// answered: of the expected latencies of their best servers, the minParts-th smallest. The elements
// of shards list the servers of each. Enough is false if fewer shards have a server that may be picked.
func (tb *Table) Coverage(now, usual time.Duration, shards [][]*origin.Upstream, minParts int) (after time.Duration, enough bool) {
	return tb.coverage(shards, minParts, func(up *origin.Upstream) float64 { return tb.expected(now, usual, up) })
}

// coverage is Coverage with the latencies of a function, which is called with the lock held.
func (tb *Table) coverage(shards [][]*origin.Upstream, minParts int, latency func(up *origin.Upstream) float64) (after time.Duration, enough bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	latencies := make([]float64, 0, len(shards))
	for _, ups := range shards {
		least := math.Inf(1)
		for _, up := range ups {
			if up.Accepting() {
				least = min(least, latency(up))
			}
		}
		if !math.IsInf(least, 1) {
			latencies = append(latencies, least)
		}
	}
	if len(latencies) < max(1, minParts) {
		return 0, false
	}
	sort.Float64s(latencies)
	return time.Duration(latencies[max(1, minParts)-1]), true
}

// expected returns the expected latency of one more request at a server, in nanoseconds; infinite
// if it must not be picked. Requests beyond the server's window wait here.
func (tb *Table) expected(now, usual time.Duration, up *origin.Upstream) float64 {
	st, seen := tb.stats[up.Process()]
	if !seen {
		return float64(usual)
	}
	silentFor := st.silence(now)
	if now < st.avoidUntil || silentFor > float64(unresponsiveAfter) {
		return math.Inf(1)
	}
	pace := max(st.currentSlowdown(now), st.report.currentPace(now))
	beyond := max(0, float64(st.inFlight)+1-st.window) / max(1, st.window)
	return float64(usual)*pace*(1+max(beyond, st.report.queueWait(now))) + silentFor
}

// Capacity reports what the servers of a shard can take of one more request, which is to be answered
// within a limit. Servers that would exceed it by themselves, without waiting, are left out: they
// are slow, and fewer requests would not make them faster.
func (tb *Table) Capacity(now, usual, limit time.Duration, ups []*origin.Upstream) fanout.Capacity {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	best := fanout.CapacityNone
	for _, up := range ups {
		if up.Accepting() {
			best = max(best, tb.capacity(now, usual, limit, up))
		}
	}
	return best
}

func (tb *Table) capacity(now, usual, limit time.Duration, up *origin.Upstream) fanout.Capacity {
	st, seen := tb.stats[up.Process()]
	if !seen {
		return fanout.CapacityFree
	}
	weight := decay(now-st.ratesAt, failureDecay)
	pace := st.report.currentPace(now)
	switch {
	case now < st.avoidUntil || st.silence(now) > float64(lostAfter) || weight*st.failureRate >= failingRate:
		return fanout.CapacityNone
	case float64(usual)*pace > float64(limit):
		return fanout.CapacityNone
	case float64(st.inFlight) >= st.window || st.report.queueWait(now) >= fullQueueWait || weight*st.refusalRate >= refusingRate:
		return fanout.CapacityFull
	case float64(usual)*st.currentSlowdown(now) > float64(limit):
		return fanout.CapacityNone
	}
	return fanout.CapacityFree
}
