// Package warm decides when a connection to one server may be opened, so that
// neither a cold start nor a server's return becomes a storm.
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
// A Gate belongs to one server and is not safe for use from several goroutines.
//
// # How it bounds
//
// Openings under way at once start at one and double with each that succeeds, to
// a small maximum; any failure puts them back to one and waits, each time twice
// as long, with jitter so that VMs that saw the same failure come back apart. A
// server that refuses a connection as one too many sets a ceiling at what is
// open, which lifts by one after the same wait: the limit of a server is shared
// with VMs that this one cannot see.
package warm

import (
	"math/rand/v2"
	"time"
)

// Defaults of a Config.
const (
	DefaultFloor      = 1
	DefaultPace       = 20 * time.Millisecond
	DefaultLeastWait  = 5 * time.Millisecond
	DefaultMostWait   = 2 * time.Second
	DefaultMostAtOnce = 4
	DefaultMemory     = 30 * time.Second
)

// Config sets a gate. Limit and Rand are required.
type Config struct {
	// Limit bounds the connections, those being opened included.
	Limit int
	// Floor is the number kept open without any demand.
	Floor int
	// Pace is the mean time between openings that no request waits for.
	Pace time.Duration
	// LeastWait and MostWait bound the wait after failures.
	LeastWait time.Duration
	MostWait  time.Duration
	// MostAtOnce bounds the openings under way.
	MostAtOnce int
	// Memory is how long a peak of use keeps connections open.
	Memory time.Duration
	Rand   *rand.Rand
}

// Fault says how an opening failed.
type Fault uint8

// Faults of an opening.
const (
	// FaultDial: no connection came about.
	FaultDial Fault = iota + 1
	// FaultRefused: it was accepted and closed at once, as a server does that
	// has too many.
	FaultRefused
)

// Gate holds the state of one server's openings.
type Gate struct {
	cfg     Config
	open    int
	opening int
	atOnce  int
	fails   int
	notYet  time.Duration
	ceiling int
	next    time.Duration
	peak    int
	before  int
	turn    time.Duration
}

// New makes a gate with nothing open.
func New(cfg Config) *Gate {
	if cfg.Floor == 0 {
		cfg.Floor = DefaultFloor
	}
	if cfg.Pace == 0 {
		cfg.Pace = DefaultPace
	}
	if cfg.LeastWait == 0 {
		cfg.LeastWait = DefaultLeastWait
	}
	if cfg.MostWait == 0 {
		cfg.MostWait = DefaultMostWait
	}
	if cfg.MostAtOnce == 0 {
		cfg.MostAtOnce = DefaultMostAtOnce
	}
	if cfg.Memory == 0 {
		cfg.Memory = DefaultMemory
	}
	return &Gate{cfg: cfg, atOnce: 1}
}

// SetLimit replaces the limit. Connections over it are for the owner to close;
// Excess counts them.
func (ga *Gate) SetLimit(n int) {
	ga.cfg.Limit = max(0, n)
}

// Limit is the limit in force.
func (ga *Gate) Limit() int {
	return ga.cfg.Limit
}

// Open is the number of open connections.
func (ga *Gate) Open() int {
	return ga.open
}

// Opening is the number of openings under way.
func (ga *Gate) Opening() int {
	return ga.opening
}

// Excess is the number of connections open over the limit.
func (ga *Gate) Excess() int {
	return max(0, ga.open+ga.opening-ga.cfg.Limit)
}

// MayOpen tells whether a request that waits may have a connection opened.
func (ga *Gate) MayOpen(now time.Duration) bool {
	if ga.Waiting(now) || ga.opening >= ga.atOnce {
		return false
	}
	return ga.open+ga.opening < ga.room(now)
}

// Waiting tells whether a failure forbids openings for now.
func (ga *Gate) Waiting(now time.Duration) bool {
	return now < ga.notYet
}

// Full tells whether the limit, given or learned, leaves no room.
func (ga *Gate) Full(now time.Duration) bool {
	return ga.open+ga.opening >= ga.room(now)
}

func (ga *Gate) room(now time.Duration) int {
	if ga.ceiling > 0 && now >= ga.notYet {
		// One try beyond the learned ceiling; a refusal sets it again.
		return min(ga.cfg.Limit, ga.ceiling+1)
	}
	if ga.ceiling > 0 {
		return min(ga.cfg.Limit, ga.ceiling)
	}
	return ga.cfg.Limit
}

// Begin notes that an opening begins.
func (ga *Gate) Begin() {
	ga.opening++
}

// Opened notes that an opening succeeded.
func (ga *Gate) Opened() {
	ga.opening--
	ga.open++
	ga.fails = 0
	ga.atOnce = min(ga.cfg.MostAtOnce, ga.atOnce*2)
	if ga.ceiling > 0 && ga.open > ga.ceiling {
		ga.ceiling = ga.open
		if ga.ceiling >= ga.cfg.Limit {
			ga.ceiling = 0
		}
	}
}

// Failed notes that an opening failed.
func (ga *Gate) Failed(now time.Duration, fa Fault) {
	ga.opening--
	ga.atOnce = 1
	wait := min(ga.cfg.MostWait, ga.cfg.LeastWait<<min(ga.fails, 16))
	ga.fails++
	ga.notYet = now + ga.jitter(wait)
	if fa == FaultRefused {
		ga.ceiling = ga.open
	}
}

// Closed notes that an open connection was closed.
func (ga *Gate) Closed() {
	ga.open--
	if ga.open == 0 {
		// Nothing vouches for the server any more: ramp up anew.
		ga.atOnce = 1
	}
}

// Used notes how many connections are in use.
func (ga *Gate) Used(now time.Duration, n int) {
	if now-ga.turn >= ga.cfg.Memory {
		ga.before, ga.peak, ga.turn = ga.peak, 0, now
	}
	ga.peak = max(ga.peak, n)
}

// Want is the number of connections to keep open: the floor, or one more than
// were in use lately.
func (ga *Gate) Want() int {
	want := ga.cfg.Floor
	if peak := max(ga.peak, ga.before); peak > 0 {
		want = max(want, peak+1)
	}
	return min(want, ga.cfg.Limit)
}

// Fill tells whether to open a connection that no request waits for, at the
// pace set. If it says yes, the next may follow only after a jittered pause.
func (ga *Gate) Fill(now time.Duration) bool {
	if ga.open+ga.opening >= ga.Want() || now < ga.next || !ga.MayOpen(now) {
		return false
	}
	ga.next = now + ga.jitter(ga.cfg.Pace)
	return true
}

// jitter spreads a wait over half to one and a half times its length.
func (ga *Gate) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(ga.cfg.Rand.Int64N(int64(d)+1))
}
