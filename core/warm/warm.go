// Package warm decides when a connection to one server may be opened, so that neither a cold start
// nor the return of a server causes a burst of connection attempts.
//
// # Usage
//
//	wa := warm.New(warm.Config{Limit: 4, Floor: 1, Rand: rnd})
//	if wa.MayOpen(now) {
//		wa.Begin()
//		// dial, then:
//		wa.Opened()                      // or
//		wa.Failed(now, warm.FaultDial)   // or
//		wa.Failed(now, warm.FaultRefused)
//	}
//	wa.Closed()
//
// A Gate belongs to one server and is not safe for concurrent use.
//
// # Limits
//
// The number of concurrent attempts starts at one and doubles with each success, up to a small
// maximum. A failure resets it to one and starts a wait, which doubles with each failure in a row
// and has jitter, so that VMs that saw the same failure don't retry in step. If a server refuses a
// connection because it has too many, the number of open ones becomes the learned limit, and after
// the same wait one more may be tried: the server's limit is shared with VMs that this one cannot
// see.
package warm

import (
	"math/rand/v2"
	"time"
)

// Defaults of a Config.
const (
	DefaultFloor        = 1
	DefaultFillInterval = 20 * time.Millisecond
	DefaultMinWait      = 5 * time.Millisecond
	DefaultMaxWait      = 2 * time.Second
	DefaultMaxOpening   = 4
	DefaultPeakWindow   = 30 * time.Second
)

// Config configures a Gate. Limit and Rand are required.
type Config struct {
	// Limit bounds the connections, including those being opened.
	Limit int
	// Floor is the number of connections kept open without any demand.
	Floor int
	// FillInterval is the mean time between attempts for which no request waits.
	FillInterval time.Duration
	// MinWait and MaxWait bound the mean wait after failures.
	MinWait time.Duration
	MaxWait time.Duration
	// MaxOpening bounds the concurrent attempts.
	MaxOpening int
	// PeakWindow is the length of a period of use. Target covers the peak of the current and of
	// the previous period.
	PeakWindow time.Duration
	Rand       *rand.Rand
}

// Fault is the way in which an attempt failed.
type Fault uint8

// Faults of an attempt.
const (
	// FaultDial means that no connection was established.
	FaultDial Fault = iota + 1
	// FaultRefused means that the connection was accepted and closed at once, as a server does
	// that has too many.
	FaultRefused
)

// Gate is the state of the connections to one server.
type Gate struct {
	cfg          Config
	open         int
	opening      int
	maxOpening   int
	fails        int
	blockedUntil time.Duration
	learnedLimit int
	nextFill     time.Duration
	peak         int
	prevPeak     int
	windowStart  time.Duration
}

// New returns a gate without connections.
func New(cfg Config) *Gate {
	if cfg.Floor == 0 {
		cfg.Floor = DefaultFloor
	}
	if cfg.FillInterval == 0 {
		cfg.FillInterval = DefaultFillInterval
	}
	if cfg.MinWait == 0 {
		cfg.MinWait = DefaultMinWait
	}
	if cfg.MaxWait == 0 {
		cfg.MaxWait = DefaultMaxWait
	}
	if cfg.MaxOpening == 0 {
		cfg.MaxOpening = DefaultMaxOpening
	}
	if cfg.PeakWindow == 0 {
		cfg.PeakWindow = DefaultPeakWindow
	}
	return &Gate{cfg: cfg, maxOpening: 1}
}

// SetLimit replaces the limit. The caller closes the connections above it; Excess counts them.
func (ga *Gate) SetLimit(n int) {
	ga.cfg.Limit = max(0, n)
}

// Limit returns the limit that was set last.
func (ga *Gate) Limit() int {
	return ga.cfg.Limit
}

// Open returns the number of open connections.
func (ga *Gate) Open() int {
	return ga.open
}

// Opening returns the number of attempts in progress.
func (ga *Gate) Opening() int {
	return ga.opening
}

// Excess returns by how much the open connections and the attempts exceed the limit.
func (ga *Gate) Excess() int {
	return max(0, ga.open+ga.opening-ga.cfg.Limit)
}

// MayOpen reports whether a connection may be opened for a waiting request.
func (ga *Gate) MayOpen(now time.Duration) bool {
	if ga.BackingOff(now) || ga.opening >= ga.maxOpening {
		return false
	}
	return ga.open+ga.opening < ga.capacity(now)
}

// BackingOff reports whether a failure forbids attempts for now.
func (ga *Gate) BackingOff(now time.Duration) bool {
	return now < ga.blockedUntil
}

// Full reports whether the limit, set or learned, is reached.
func (ga *Gate) Full(now time.Duration) bool {
	return ga.open+ga.opening >= ga.capacity(now)
}

func (ga *Gate) capacity(now time.Duration) int {
	if ga.learnedLimit > 0 && now >= ga.blockedUntil {
		// One attempt above the learned limit; a refusal sets the limit again.
		return min(ga.cfg.Limit, ga.learnedLimit+1)
	}
	if ga.learnedLimit > 0 {
		return min(ga.cfg.Limit, ga.learnedLimit)
	}
	return ga.cfg.Limit
}

// Begin records the start of an attempt.
func (ga *Gate) Begin() {
	ga.opening++
}

// Opened records that an attempt succeeded.
func (ga *Gate) Opened() {
	ga.opening--
	ga.open++
	ga.fails = 0
	ga.maxOpening = min(ga.cfg.MaxOpening, ga.maxOpening*2)
	if ga.learnedLimit > 0 && ga.open > ga.learnedLimit {
		ga.learnedLimit = ga.open
		if ga.learnedLimit >= ga.cfg.Limit {
			ga.learnedLimit = 0
		}
	}
}

// Failed records that an attempt failed.
func (ga *Gate) Failed(now time.Duration, fa Fault) {
	ga.opening--
	ga.maxOpening = 1
	wait := min(ga.cfg.MaxWait, ga.cfg.MinWait<<min(ga.fails, 16))
	ga.fails++
	ga.blockedUntil = now + ga.jitter(wait)
	if fa == FaultRefused {
		ga.learnedLimit = ga.open
	}
}

// Closed records that an open connection was closed.
func (ga *Gate) Closed() {
	ga.open--
	if ga.open == 0 {
		// No open connection shows any more that the server works: start again with one attempt.
		ga.maxOpening = 1
	}
}

// RecordUse records how many connections are in use.
func (ga *Gate) RecordUse(now time.Duration, n int) {
	if now-ga.windowStart >= ga.cfg.PeakWindow {
		ga.prevPeak, ga.peak, ga.windowStart = ga.peak, 0, now
	}
	ga.peak = max(ga.peak, n)
}

// Target returns the number of connections to keep open: the floor or, if greater, one more than
// were recently in use, within the limit.
func (ga *Gate) Target() int {
	want := ga.cfg.Floor
	if peak := max(ga.peak, ga.prevPeak); peak > 0 {
		want = max(want, peak+1)
	}
	return min(want, ga.cfg.Limit)
}

// MayFill reports whether to open a connection for which no request waits. If it returns true, it
// does so again only after FillInterval, with jitter.
func (ga *Gate) MayFill(now time.Duration) bool {
	if ga.open+ga.opening >= ga.Target() || now < ga.nextFill || !ga.MayOpen(now) {
		return false
	}
	ga.nextFill = now + ga.jitter(ga.cfg.FillInterval)
	return true
}

// jitter returns a random time between half of d and one and a half of it.
func (ga *Gate) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(ga.cfg.Rand.Int64N(int64(d)+1))
}
