package steer

import (
	"time"

	"laburnumvane/core/origin"
)

// Healthy reports whether a server counts as healthy: not slow, silent or avoided, and without
// recent refusals or failures.
func (tb *Table) Healthy(now time.Duration, pr origin.Process) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st, ok := tb.stats[pr]
	if !ok {
		return true
	}
	weight := decay(now-st.ratesAt, failureDecay)
	return st.slowAnswers == 0 && st.currentSlowdown(now) < healthySlowdown &&
		weight*(st.failureRate+st.refusalRate) < healthyFailures && st.silence(now) == 0 && now >= st.avoidUntil
}

// Doubted reports whether a server is slow, or silent for longer than expected.
func (tb *Table) Doubted(now time.Duration, pr origin.Process) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st, ok := tb.stats[pr]
	return ok && (st.slowAnswers > 1 && st.currentSlowdown(now) >= healthySlowdown || st.silence(now) > 0)
}

// Warn records another VM's report that a server is slow or silent. VMs in the server's data
// centre see its answers to many other VMs and find this out sooner: if three of ten requests go
// to a slow server, each of 21 VMs needs a second to notice, and the VMs next to the server a
// fifth of that.
func (tb *Table) Warn(now time.Duration, pr origin.Process) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.statsOf(pr)
	if st.currentSlowdown(now) < warnedSlowdown {
		st.slowdown, st.slowdownAt = warnedSlowdown, now
	}
}

// HealthyDataCentres returns the data centres, other than this VM's own, that have a healthy server
// among ups; near reports whether this VM's own has one.
func (tb *Table) HealthyDataCentres(now time.Duration, ups []*origin.Upstream) (near bool, places []string) {
	for _, up := range ups {
		switch {
		case !up.Accepting() || !tb.Healthy(now, up.Process()):
		case up.DataCentre == tb.cfg.DataCentre:
			near = true
		default:
			places = append(places, up.DataCentre)
		}
	}
	return near, places
}

// SilentFor returns for how long a server with requests of this VM in flight has not answered.
func (tb *Table) SilentFor(now time.Duration, pr origin.Process) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st, ok := tb.stats[pr]
	if !ok || st.inFlight == 0 {
		return 0
	}
	return now - st.silentSince
}

// CountOverdue counts the servers outside this VM's data centre that are silent for longer than
// expected.
func (tb *Table) CountOverdue(now time.Duration, dir *origin.Directory) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	overdue := 0
	dir.All(func(up *origin.Upstream) {
		st, seen := tb.stats[up.Process()]
		if seen && up.DataCentre != tb.cfg.DataCentre && st.silence(now) > 0 {
			overdue++
		}
	})
	return overdue
}
