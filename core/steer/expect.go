package steer

import (
	"math"
	"sort"
	"time"

	"laburnumvane/core/origin"
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
