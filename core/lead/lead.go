// Package lead works out how long before a caller's target an answer has to leave
// this VM, so that it arrives in time.
//
// # Usage
//
//	ld := lead.New(lead.Config{})
//	at := target - ld.Time(lead.Trip{RoundTrip: rtt, Fresh: first})
//	// later, when the timer for at has fired:
//	ld.Woke(now - at)
//
// # Why
//
// An answer that waits for its last part goes out just before the target, whole or
// not. A fixed allowance for the way suits one distance of callers only: with 6 ms,
// and callers 3 ms away, every such answer arrived a moment after the target, and
// 88 of 100 requests were answered in time on a day with slow and lost servers.
// With the way as the kernel sees it on the caller's own connection it was 92, and
// with 58 small VMs 79 in place of 66.
//
// What a caller has waited before its request came counts too: half a round trip,
// and on a connection that it opened for the request one more.
//
// A Lead may be used from many goroutines.
package lead

import (
	"math"
	"sync/atomic"
	"time"
)

// Defaults of a Config.
const (
	// DefaultRoundTrip is assumed where the kernel does not know one: that of a
	// caller in the same city, and some room.
	DefaultRoundTrip = 4500 * time.Microsecond
	// DefaultWriting is what joining the parts, writing the answer and reading it
	// at the other end take. With 20 records of 16 bytes it is below 1 ms on 0.4 of
	// a core; the rest is for the spread of the way.
	DefaultWriting = 1500 * time.Microsecond
)

const (
	// mostLate bounds the lateness that is allowed for: a VM that stood still for
	// seconds says nothing of the next timer.
	mostLate = 20 * time.Millisecond
	// raise and lower are the weights of a lateness above and below the one that
	// is allowed for: it settles where about one timer in ten is later.
	raise = 0.3
	lower = 0.03
)

// Config sets a Lead; fields that are 0 take the defaults.
type Config struct {
	RoundTrip time.Duration
	Writing   time.Duration
}

// Trip is what is known of the way between a caller and this VM.
type Trip struct {
	// RoundTrip is that of its connection; 0 if it is not known.
	RoundTrip time.Duration
	// Fresh is set for the first request of a connection, for whose opening the
	// caller waited too.
	Fresh bool
}

// Lead keeps what was seen of this VM's own timers.
type Lead struct {
	cfg Config
	// late holds the bits of a float64, in nanoseconds.
	late atomic.Uint64
}

// New makes a Lead that knows of no late timer.
func New(cfg Config) *Lead {
	if cfg.RoundTrip <= 0 {
		cfg.RoundTrip = DefaultRoundTrip
	}
	if cfg.Writing <= 0 {
		cfg.Writing = DefaultWriting
	}
	return &Lead{cfg: cfg}
}

// Away is the time that a caller waits outside this VM: before its request came, and
// until the answer is with it.
func (ld *Lead) Away(tr Trip) time.Duration {
	if tr.RoundTrip <= 0 {
		tr.RoundTrip = ld.cfg.RoundTrip
	}
	if tr.Fresh {
		return 2 * tr.RoundTrip
	}
	return tr.RoundTrip
}

// Own is the time that this VM needs itself, from the moment that an answer is due
// to the end of its writing.
func (ld *Lead) Own() time.Duration { return ld.cfg.Writing + ld.lateness() }

// Time is how long before the target an answer has to leave.
func (ld *Lead) Time(tr Trip) time.Duration { return ld.Away(tr) + ld.Own() }

func (ld *Lead) lateness() time.Duration {
	return time.Duration(math.Float64frombits(ld.late.Load()))
}

// Woke takes in how late a timer fired. A VM whose processor is short wakes late,
// and has to aim earlier.
func (ld *Lead) Woke(late time.Duration) {
	seen := float64(min(max(late, 0), mostLate))
	was := float64(ld.lateness())
	weight := lower
	if seen > was {
		weight = raise
	}
	// Two at once may lose one of them, which changes nothing much.
	ld.late.Store(math.Float64bits(was + weight*(seen-was)))
}
