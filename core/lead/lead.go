// Package lead computes how long before a caller's target time an answer has to leave this VM
// to arrive in time.
//
// # Usage
//
//	ld := lead.New(lead.Config{})
//	at := target - ld.Time(lead.Path{RoundTrip: rtt, FirstRequest: first})
//	// later, when the timer for at has fired:
//	ld.RecordLateness(now - at)
//
// # Why
//
// An answer that waits for its last part is sent just before the target time, complete or
// not. A fixed allowance for the transit time suits one distance of callers only: with 6 ms,
// and callers 3 ms away, every such answer arrived a moment after the target, and 88 of 100
// requests were answered in time on a day with slow and lost servers. With the round-trip
// time that the kernel measures on the caller's own connection it was 92, and with 58 small
// VMs 79 instead of 66.
//
// The time that a caller waited before its request arrived counts too: half a round trip, and
// one more round trip if it opened the connection for the request.
//
// A Lead is safe for concurrent use.
package lead

import (
	"math"
	"sync/atomic"
	"time"
)

// Defaults of a Config.
const (
	// DefaultRoundTrip is assumed if the kernel has no measurement: the round-trip time of a
	// caller in the same city, and some margin.
	DefaultRoundTrip = 4500 * time.Microsecond
	// DefaultWriteTime is the time for merging the parts, writing the answer and reading it
	// at the other end. With 20 records of 16 bytes this takes less than 1 ms on 0.4 of a
	// core; the rest is for the variation of the transit time. A VM with less processor time
	// takes longer in proportion: with a fixed time, 140 of 3,375 gathered answers were sent in
	// time by VMs of 0.134 of a core and arrived up to 5 ms late.
	DefaultWriteTime = 1500 * time.Microsecond
)

const (
	// writeCores is the processor time, in cores, for which DefaultWriteTime is right, and
	// maxWriteRatio bounds how many times as long a smaller VM takes.
	writeCores    = 0.4
	maxWriteRatio = 4
	// maxLateness bounds the timer lateness that is allowed for: a VM that was paused for
	// seconds says nothing about its next timer.
	maxLateness = 20 * time.Millisecond
	// riseWeight and fallWeight are the weights of an observed lateness above and below the
	// current estimate. With them the estimate settles where about one timer in ten is later.
	riseWeight = 0.3
	fallWeight = 0.03
)

// Config configures a Lead. Fields that are 0 take the defaults.
type Config struct {
	RoundTrip time.Duration
	WriteTime time.Duration
	// Capacity is the processor time of this VM in cores; the default of WriteTime depends on
	// it.
	Capacity float64
}

// Path describes the path between a caller and this VM.
type Path struct {
	// RoundTrip is the round-trip time of its connection; 0 if unknown.
	RoundTrip time.Duration
	// FirstRequest is set for the first request of a connection: the caller also waited for the
	// connection to be opened.
	FirstRequest bool
}

// Lead estimates the lateness of this VM's timers.
type Lead struct {
	cfg Config
	// latenessBits holds the bits of a float64, in nanoseconds.
	latenessBits atomic.Uint64
}

// New returns a Lead that allows for no timer lateness yet.
func New(cfg Config) *Lead {
	if cfg.RoundTrip <= 0 {
		cfg.RoundTrip = DefaultRoundTrip
	}
	if cfg.WriteTime <= 0 {
		cfg.WriteTime = defaultWriteTime(cfg.Capacity)
	}
	return &Lead{cfg: cfg}
}

// defaultWriteTime returns DefaultWriteTime for a VM with that many cores.
func defaultWriteTime(cores float64) time.Duration {
	if cores <= 0 {
		return DefaultWriteTime
	}
	return time.Duration(float64(DefaultWriteTime) * min(max(1, writeCores/cores), maxWriteRatio))
}

// TransitTime returns the time that a caller waits outside this VM: before its request arrived, and
// until it has the answer.
func (ld *Lead) TransitTime(pa Path) time.Duration {
	if pa.RoundTrip <= 0 {
		pa.RoundTrip = ld.cfg.RoundTrip
	}
	if pa.FirstRequest {
		return 2 * pa.RoundTrip
	}
	return pa.RoundTrip
}

// LocalTime returns the time that this VM itself needs, from when an answer is due until it is
// written.
func (ld *Lead) LocalTime() time.Duration { return ld.cfg.WriteTime + ld.lateness() }

// Time returns how long before the target time an answer has to leave.
func (ld *Lead) Time(pa Path) time.Duration { return ld.TransitTime(pa) + ld.LocalTime() }

func (ld *Lead) lateness() time.Duration {
	return time.Duration(math.Float64frombits(ld.latenessBits.Load()))
}

// RecordLateness records how late a timer fired. A VM that lacks processor time runs its timers
// late and has to set them earlier.
func (ld *Lead) RecordLateness(late time.Duration) {
	observed := float64(min(max(late, 0), maxLateness))
	estimate := float64(ld.lateness())
	weight := fallWeight
	if observed > estimate {
		weight = riseWeight
	}
	// Of two concurrent updates one may be lost, which hardly changes the estimate.
	ld.latenessBits.Store(math.Float64bits(estimate + weight*(observed-estimate)))
}
