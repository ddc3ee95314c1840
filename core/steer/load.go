package steer

import (
	"time"

	"laburnumvane/core/origin"
)

// Load is a server's report of its own load, sent with an answer.
type Load struct {
	// Running and Waiting count requests; Slots is how many the server runs concurrently.
	Running, Waiting, Slots int
	// Slowdown is how many times the usual time work currently takes on the server's machine; 0 if it
	// is not reported.
	Slowdown float64
}

// loadReport is the latest load report of a server, received at the time at. The server has been
// slow without interruption since slowSince.
type loadReport struct {
	load      Load
	at        time.Duration
	slowSince time.Duration
}

const (
	// slowThreshold is the Slowdown from which on a server counts as slow.
	slowThreshold = 1.5
	// A reported slowdown is assumed to last for as long as it has lasted already, within
	// minPaceDecay and maxPaceDecay: bursts of neighbouring load end within some tens of
	// milliseconds, while faults last for seconds.
	minPaceDecay = 15 * time.Millisecond
	maxPaceDecay = 4 * time.Second
	// queueDecay is the decay time of a reported queue length: the duration of a few requests.
	queueDecay = 50 * time.Millisecond
)

// RecordLoad records the load that a server reported. Took is the latency of the answer that
// carried it, or 0 if there was none.
func (tb *Table) RecordLoad(now time.Duration, up *origin.Upstream, lo Load, took time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.reportsLoad[up.Service] = true
	st := tb.statsOf(up.Process())
	st.respondedAt = now
	previous := st.report
	st.report = loadReport{load: lo, at: now, slowSince: now}
	if lo.Slowdown < slowThreshold {
		return
	}
	if previous.load.Slowdown >= slowThreshold {
		st.report.slowSince = previous.slowSince
	}
	// The server was this slow during the whole request.
	if float64(took) >= lo.Slowdown*float64(st.longestUsual)/2 && st.longestUsual > 0 {
		st.report.slowSince = min(st.report.slowSince, now-took)
	}
}

// currentPace estimates how many times the usual time work takes now, from the report.
func (lr *loadReport) currentPace(now time.Duration) float64 {
	if lr.load.Slowdown <= 1 {
		return 1
	}
	decayTime := min(max(lr.at-lr.slowSince, minPaceDecay), maxPaceDecay)
	return 1 + (lr.load.Slowdown-1)*decay(now-lr.at, decayTime)
}

// queueWait estimates how long one more request has to wait, in multiples of a request's duration.
func (lr *loadReport) queueWait(now time.Duration) float64 {
	if lr.load.Slots == 0 {
		return 0
	}
	ahead := lr.load.Running + lr.load.Waiting + 1 - lr.load.Slots
	return max(0, float64(ahead)) / float64(lr.load.Slots) * decay(now-lr.at, queueDecay)
}

// LastLoad returns the last load that a server reported and its age; ok is false if there is none.
// The load changes many times per second, so a report is only useful while it is recent.
func (tb *Table) LastLoad(now time.Duration, pr origin.Process) (lo Load, age time.Duration, ok bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st, seen := tb.stats[pr]
	if !seen || st.report.load.Slots == 0 {
		return Load{}, 0, false
	}
	return st.report.load, now - st.report.at, true
}

// readiness is what the last load report of a server says about one more request.
type readiness uint8

const (
	// notReady: the server is slow, or has not reported its load.
	notReady readiness = iota
	// queued: it is not slow, but the request would have to wait.
	queued
	// ready: it is not slow and has a free slot.
	ready
)

// readiness returns the readiness of a server that has just reported its load.
func (tb *Table) readiness(now time.Duration, up *origin.Upstream) readiness {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st, seen := tb.stats[up.Process()]
	switch {
	case !seen || st.report.currentPace(now) >= slowThreshold:
		return notReady
	case st.report.queueWait(now) > 0:
		return queued
	}
	return ready
}

// ReportsLoad returns whether servers of a service report their load; known is false before the
// first answer.
func (tb *Table) ReportsLoad(service string) (tells, known bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tells, known = tb.reportsLoad[service]
	return tells, known
}

// RecordNoLoad records that a server of a service answered without reporting its load.
func (tb *Table) RecordNoLoad(service string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if _, known := tb.reportsLoad[service]; !known {
		tb.reportsLoad[service] = false
	}
}

// RecordUnreadableLoad records that a server's load report could not be read, and returns whether
// it is the first such report: the caller logs only the first, since the fault may repeat with
// every answer.
func (tb *Table) RecordUnreadableLoad(pr origin.Process) (first bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.statsOf(pr)
	first = !st.misreadLoad
	st.misreadLoad = true
	return first
}
