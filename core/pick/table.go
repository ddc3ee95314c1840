package pick

import (
	"sync/atomic"
	"time"

	"laburnumvane/core/view"
)

const (
	// averageWeight is the weight of the newest value in moving averages.
	averageWeight int64 = 8
	// whole is the share 1 as a whole number.
	whole = 1 << 16
	// sickShare of failures makes a server sick: six failures in a row, or a
	// larger number among successes.
	sickShare = whole / 2
	// healFactor divides the share of failures of a server that was sick with
	// each success, until it is below healedShare: some three probes, less
	// than a second, after it is well it has its work again.
	healFactor  = 4
	healedShare = whole / 64
	// probeEvery is the least time between the first probes of a sick server;
	// it doubles with each that fails, up to sixteen times.
	probeEvery    = 250 * time.Millisecond
	mostDoublings = 4
	// forgetEvery is the time in which what is held against a server that gets
	// no work is halved.
	forgetEvery  = time.Second
	mostHalvings = 32
)

// Config sets a table.
type Config struct {
	// DataCentre is where this VM stands; its servers go first.
	DataCentre string
}

// Result is what the end of a sub-request shows of its server.
type Result uint8

// Results of a sub-request.
const (
	// Nothing: it never reached the server, or was given up.
	Nothing Result = iota
	// Replied: the server did the work.
	Replied
	// Refused: the server said that it has no room.
	Refused
	// Failed: no usable reply.
	Failed
)

// Table holds what this VM knows of each server.
type Table struct {
	cfg     Config
	servers atomic.Pointer[[]*load]
}

// load is one server's state. Averages are read and written without a lock: of
// two updates at once one may be lost, which an average survives.
type load struct {
	inFlight atomic.Int64
	latency  atomic.Int64
	failures atomic.Int64
	refusals atomic.Int64
	probeAt  atomic.Int64
	// ended is when a sub-request last ended.
	ended atomic.Int64
	// healing is set from the time it was sick until it is well.
	healing atomic.Bool
	// probes counts those since a sub-request last went well.
	probes atomic.Int32
	// The rest keeps two servers' counters off one cache line.
	_ [8]byte
}

// New makes a table without servers.
func New(cfg Config) *Table {
	tb := &Table{cfg: cfg}
	tb.servers.Store(&[]*load{})
	return tb
}

// Grow makes room for n servers. Only the control goroutine calls it.
func (tb *Table) Grow(n int) {
	old := *tb.servers.Load()
	if n <= len(old) {
		return
	}
	grown := make([]*load, n)
	copy(grown, old)
	for i := len(old); i < n; i++ {
		grown[i] = new(load)
	}
	tb.servers.Store(&grown)
}

// Begin counts a sub-request as in flight on a server.
func (tb *Table) Begin(id view.ServerID) {
	tb.of(id).inFlight.Add(1)
}

// End settles a sub-request. The latency counts only with Replied.
func (tb *Table) End(now time.Duration, id view.ServerID, rs Result, latency time.Duration) {
	ld := tb.of(id)
	ld.inFlight.Add(-1)
	halvings := ld.stale(now)
	ld.ended.Store(int64(now))
	switch rs {
	case Replied:
		ld.replied(latency, max(1, averageWeight>>halvings))
	case Refused:
		average(&ld.refusals, whole, averageWeight)
	case Failed:
		ld.failed(now)
	case Nothing:
	}
}

// replied takes a reply; weight is 1 where nothing was heard for long, so that
// what is old counts for nothing.
func (ld *load) replied(latency time.Duration, weight int64) {
	if ld.healing.Load() {
		ld.heal()
	} else {
		average(&ld.failures, 0, weight)
	}
	average(&ld.refusals, 0, weight)
	if ld.latency.Load() == 0 {
		weight = 1
	}
	average(&ld.latency, max(1, int64(latency)), weight)
}

func (ld *load) heal() {
	ld.probes.Store(0)
	left := ld.failures.Load() / healFactor
	ld.failures.Store(left)
	if left < healedShare {
		ld.healing.Store(false)
	}
}

func (ld *load) failed(now time.Duration) {
	average(&ld.failures, whole, averageWeight)
	if ld.sick() {
		ld.healing.Store(true)
		ld.probeAt.Store(int64(now + ld.probeWait()))
	}
}

// average moves a value towards the newest one.
func average(val *atomic.Int64, newest, weight int64) {
	old := val.Load()
	val.Store(old + (newest-old)/weight)
}

func (ld *load) sick() bool {
	return ld.failures.Load() >= sickShare
}

// probe tells whether this is the one sub-request allowed through for now.
func (ld *load) probe(now time.Duration) bool {
	at := ld.probeAt.Load()
	if int64(now) < at || !ld.probeAt.CompareAndSwap(at, int64(now+ld.probeWait())) {
		return false
	}
	ld.probes.Add(1)
	return true
}

func (ld *load) probeWait() time.Duration {
	return probeEvery << min(ld.probes.Load(), mostDoublings)
}

// stale is how often what is bad about a server is to be halved because nothing
// was heard from it lately. Without it one that looked a little worse than the
// others once would never be drawn again, and so never look better.
func (ld *load) stale(now time.Duration) int64 {
	quiet := int64(now) - ld.ended.Load()
	return min(max(0, quiet/int64(forgetEvery)), mostHalvings)
}

// InFlight is the number of sub-requests in flight on a server from this VM.
func (tb *Table) InFlight(id view.ServerID) int {
	return int(tb.of(id).inFlight.Load())
}

// Latency is the moving average of a server's latency; 0 means none seen.
func (tb *Table) Latency(id view.ServerID) time.Duration {
	return time.Duration(tb.of(id).latency.Load())
}

// Sick tells whether a server failed most sub-requests lately.
func (tb *Table) Sick(id view.ServerID) bool {
	return tb.of(id).sick()
}

func (tb *Table) of(id view.ServerID) *load {
	return (*tb.servers.Load())[id]
}
