package steer

import (
	"time"

	"laburnumvane/core/origin"
)

const (
	// loadedWait is the reported wait for a slot, in multiples of a request's duration, from which
	// on a server counts as loaded. Shorter queues come and go without a lack of capacity.
	loadedWait = 1
	// loadedRefusals is the share of refusals from which on a server counts as loaded. One refusal
	// gives smoothing, and four answers after it fall below this.
	loadedRefusals = 0.1
)

// UnloadedCoverage is Coverage as it would be if so little were sent that nothing waits for servers.
// A server that is slow although it has spare capacity stays as slow. A server that must not be
// picked has no latency in either.
func (tb *Table) UnloadedCoverage(now, usual time.Duration, shards [][]*origin.Upstream, minParts int) (after time.Duration, enough bool) {
	return tb.coverage(shards, minParts, func(up *origin.Upstream) float64 { return tb.unloaded(now, usual, up) })
}

// unloaded returns the latency of a request at a server without load, in nanoseconds. A server that
// does not report its load shows it by refusals. A window of this VM that is used up shows only that
// requests wait here: a slow server has a small window, whatever its load.
func (tb *Table) unloaded(now, usual time.Duration, up *origin.Upstream) float64 {
	st, seen := tb.stats[up.Process()]
	if !seen {
		return float64(usual)
	}
	slowdown := st.report.currentPace(now)
	loaded := st.report.queueWait(now) >= loadedWait || decay(now-st.ratesAt, failureDecay)*st.refusalRate >= loadedRefusals
	if !loaded {
		slowdown = max(slowdown, st.currentSlowdown(now))
	}
	return min(tb.expected(now, usual, up), float64(usual)*slowdown)
}
