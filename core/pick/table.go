package pick

import (
	"sync/atomic"
	"time"

	"laburnumvane/core/view"
)

const (
	// averageWeight is the divisor of the moving averages: a new value counts for one part in so
	// many.
	averageWeight int64 = 8
	// fixedOne represents 1 in fixed-point numbers.
	fixedOne = 1 << 16
	// failingShare is the share of failures from which a server counts as failing: six failures in
	// a row, or more among successes.
	failingShare = fixedOne / 2
	// recoveryDivisor divides a recovering server's share of failures with each success, until it
	// is below recoveredShare. After about three successful probes, in less than a second, the
	// server gets its full work again.
	recoveryDivisor = 4
	recoveredShare  = fixedOne / 64
	// minProbeInterval is the first interval between probes of a failing server; it doubles with
	// each failed probe, up to a factor of sixteen.
	minProbeInterval  = 250 * time.Millisecond
	maxProbeDoublings = 4
	// halfLife is the time in which the bad record of a server without work is halved.
	halfLife    = time.Second
	maxHalvings = 32
)

// Config configures a Table.
type Config struct {
	// DataCentre is the data centre of this VM; its servers are preferred.
	DataCentre string
}

// Result is the outcome of a sub-request as far as it concerns its server.
type Result uint8

// Results of a sub-request.
const (
	// NoResult: it never reached the server, or was abandoned.
	NoResult Result = iota
	// Replied: the server executed the sub-request.
	Replied
	// Refused: the server refused it for lack of capacity.
	Refused
	// Failed: there was no usable reply.
	Failed
)

// Table holds this VM's observations of each server.
type Table struct {
	cfg     Config
	servers atomic.Pointer[[]*serverStats]
}

// serverStats holds the observations of one server. Averages are updated without a lock: of two
// concurrent updates one may be lost, which a moving average tolerates.
type serverStats struct {
	inFlight atomic.Int64
	latency  atomic.Int64
	failures atomic.Int64
	refusals atomic.Int64
	probeAt  atomic.Int64
	// lastEnd is when the last sub-request ended.
	lastEnd atomic.Int64
	// recovering is set when the server starts to fail and cleared once it has recovered.
	recovering atomic.Bool
	// probes counts the probes since the last successful sub-request.
	probes atomic.Int32
	// The padding keeps the counters of two servers on separate cache lines.
	_ [8]byte
}

// New returns a table without servers.
func New(cfg Config) *Table {
	tb := &Table{cfg: cfg}
	tb.servers.Store(&[]*serverStats{})
	return tb
}

// Grow extends the table to n servers. It must not be called concurrently with itself.
func (tb *Table) Grow(n int) {
	old := *tb.servers.Load()
	if n <= len(old) {
		return
	}
	grown := make([]*serverStats, n)
	copy(grown, old)
	for i := len(old); i < n; i++ {
		grown[i] = new(serverStats)
	}
	tb.servers.Store(&grown)
}

// Begin counts a sub-request in flight to a server. End must be called once for each.
func (tb *Table) Begin(id view.ServerID) {
	tb.stats(id).inFlight.Add(1)
}

// End records the outcome of a sub-request. The latency is used only with Replied.
func (tb *Table) End(now time.Duration, id view.ServerID, rs Result, latency time.Duration) {
	st := tb.stats(id)
	st.inFlight.Add(-1)
	halvings := st.staleHalvings(now)
	st.lastEnd.Store(int64(now))
	switch rs {
	case Replied:
		st.recordReply(latency, max(1, averageWeight>>halvings))
	case Refused:
		updateAverage(&st.refusals, fixedOne, averageWeight)
	case Failed:
		st.recordFailure(now)
	case NoResult:
	}
}

// recordReply records a reply; weight is 1 after a long time without sub-requests, so that old
// values are discarded.
func (st *serverStats) recordReply(latency time.Duration, weight int64) {
	if st.recovering.Load() {
		st.recordRecovery()
	} else {
		updateAverage(&st.failures, 0, weight)
	}
	updateAverage(&st.refusals, 0, weight)
	if st.latency.Load() == 0 {
		weight = 1
	}
	updateAverage(&st.latency, max(1, int64(latency)), weight)
}

func (st *serverStats) recordRecovery() {
	st.probes.Store(0)
	left := st.failures.Load() / recoveryDivisor
	st.failures.Store(left)
	if left < recoveredShare {
		st.recovering.Store(false)
	}
}

func (st *serverStats) recordFailure(now time.Duration) {
	updateAverage(&st.failures, fixedOne, averageWeight)
	if st.failing() {
		st.recovering.Store(true)
		st.probeAt.Store(int64(now + st.probeInterval()))
	}
}

// updateAverage moves an average towards the newest value.
func updateAverage(val *atomic.Int64, newest, weight int64) {
	old := val.Load()
	val.Store(old + (newest-old)/weight)
}

func (st *serverStats) failing() bool {
	return st.failures.Load() >= failingShare
}

// probe reports whether this sub-request may probe the server now; it is true for one caller per
// interval.
func (st *serverStats) probe(now time.Duration) bool {
	at := st.probeAt.Load()
	if int64(now) < at || !st.probeAt.CompareAndSwap(at, int64(now+st.probeInterval())) {
		return false
	}
	st.probes.Add(1)
	return true
}

func (st *serverStats) probeInterval() time.Duration {
	return minProbeInterval << min(st.probes.Load(), maxProbeDoublings)
}

// staleHalvings returns how often the bad record of a server is to be halved because of the time
// without sub-requests to it. Without this, a server that once looked slightly worse than the
// others would never be picked again, and so never look better.
func (st *serverStats) staleHalvings(now time.Duration) int64 {
	idle := int64(now) - st.lastEnd.Load()
	return min(max(0, idle/int64(halfLife)), maxHalvings)
}

// InFlight returns the number of sub-requests of this VM in flight to a server.
func (tb *Table) InFlight(id view.ServerID) int {
	return int(tb.stats(id).inFlight.Load())
}

// Latency returns the moving average of a server's latency; 0 if there is none yet.
func (tb *Table) Latency(id view.ServerID) time.Duration {
	return time.Duration(tb.stats(id).latency.Load())
}

// Failing reports whether a server failed most recent sub-requests.
func (tb *Table) Failing(id view.ServerID) bool {
	return tb.stats(id).failing()
}

func (tb *Table) stats(id view.ServerID) *serverStats {
	return (*tb.servers.Load())[id]
}
