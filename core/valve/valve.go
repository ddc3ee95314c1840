// Package valve sheds load: it determines the share of requests to admit while the servers that
// all of them need lack capacity.
//
// # Usage
//
//	va := valve.New(valve.Config{})
//	va.Advance(now)
//	if !va.Admit(level, rnd.Float64()) {
//		// refuse, with a Retry-After
//	}
//	va.RecordShort(now, lackedAt) // or va.Record(false), if it did not lack capacity
//
// # Why
//
// A request over many shards fails if two of them have no capacity for it. If each of ten shards
// accepts four of five requests and refuses the fifth at random, only one request in three gets
// answers from at least nine shards. If instead one request in five is refused before it is sent,
// the other four are answered. So requests that cannot be served are refused as a whole, at once,
// and at no cost to the servers.
//
// # How
//
// Each request that was late or failed for lack of capacity reduces the admitted share by a
// factor; each other one increases it by a step. The two balance when about one request in five
// lacks capacity. Failures of other kinds do not count, since admitting fewer requests would not
// prevent them; fanout.Machine decides which those are.
//
// The valve also opens by time: without a request that lacked capacity, all are admitted after
// half a second. At ten requests per second, the steps alone would take seconds. Such a pause can
// also occur during a shortage, so the share that was admitted before is kept for some time, and
// applies again from the next request that lacks capacity.
//
// A Valve is safe for concurrent use.
package valve

import (
	"sync"
	"time"
)

// Defaults of a Config.
const (
	// DefaultStep and DefaultCut move the share between its bounds within one or two seconds at
	// twenty requests per second.
	DefaultStep = 0.01
	DefaultCut  = 0.05
	// DefaultStreak is how many consecutive requests have to find capacity before each further
	// step is streakFactor times the previous one. While one request in five lacks capacity such
	// streaks are rare. After the shortage, the share is back to 1 after about twenty requests
	// instead of seventy.
	DefaultStreak = 5
	streakFactor  = 1.5
	// DefaultMinShare is the share that is always admitted, to detect when there is capacity
	// again, and so that no kind of request is starved. If requests fail because one shard is
	// slow, admitting fewer does not help: with two of 36 shards slow for five of forty seconds,
	// 62 VMs answered 82 of 100 requests in time with 0.3, and 85 with 0.5.
	DefaultMinShare = 0.5
	// reopenStart and reopenEnd are the times since the last lack of capacity between which the
	// valve opens completely.
	reopenStart = 250 * time.Millisecond
	reopenEnd   = 500 * time.Millisecond
	// forgetAfter is how long after the last lack of capacity the reduced share is forgotten.
	forgetAfter = 2 * time.Second
)

// Config holds the parameters of a Valve; fields that are 0 take the defaults.
type Config struct {
	// Step is by how much a request that found capacity increases the admitted share.
	Step float64
	// Cut is the fraction of the admitted share that a request without capacity takes off.
	Cut float64
	// Streak is the number of consecutive requests that find capacity before the steps grow.
	Streak int
	// MinShare is the share that is always admitted.
	MinShare float64
}

// Valve holds the admitted share of requests.
type Valve struct {
	cfg   Config
	mu    sync.Mutex
	share float64
	// streak counts the requests since the last one that lacked capacity; step is the next
	// increase.
	streak int
	step   float64
	// now is the latest time known, and shortAt when capacity was last lacking.
	now, shortAt time.Duration
}

// New returns a valve that admits all requests.
func New(cfg Config) *Valve {
	if cfg.Step == 0 {
		cfg.Step = DefaultStep
	}
	if cfg.Cut == 0 {
		cfg.Cut = DefaultCut
	}
	if cfg.Streak == 0 {
		cfg.Streak = DefaultStreak
	}
	if cfg.MinShare == 0 {
		cfg.MinShare = DefaultMinShare
	}
	return &Valve{cfg: cfg, share: 1, step: cfg.Step}
}

// Advance sets the current time.
func (va *Valve) Advance(now time.Duration) {
	va.mu.Lock()
	defer va.mu.Unlock()
	va.now = max(va.now, now)
	if va.now-va.shortAt >= forgetAfter {
		va.share, va.streak, va.step = 1, 0, va.cfg.Step
	}
}

// Admit reports whether to admit a request. Level is 0 for the most urgent kind that shares the
// servers; less urgent kinds are refused first. Draw is a uniform random number in [0, 1).
func (va *Valve) Admit(level int, draw float64) bool {
	va.mu.Lock()
	defer va.mu.Unlock()
	share := va.admittedShare()
	admitted := share
	if level > 0 {
		admitted *= share
	}
	return draw < max(admitted, va.cfg.MinShare)
}

// admittedShare returns the share that is admitted now.
func (va *Valve) admittedShare() float64 {
	opening := float64(va.now-va.shortAt-reopenStart) / float64(reopenEnd-reopenStart)
	return va.share + (1-va.share)*min(1, max(0, opening))
}

// RecordShort adds an admitted request that was late or failed, and lacked capacity for the last
// time at lackedAt. The request may end long after that; it is ignored if the valve is open again
// by then.
func (va *Valve) RecordShort(now, lackedAt time.Duration) {
	va.Advance(now)
	if now-lackedAt < reopenEnd {
		va.Record(true)
		va.mu.Lock()
		defer va.mu.Unlock()
		va.shortAt = max(va.shortAt, lackedAt)
	}
}

// Record adds the result of an admitted request; short is set if it was late or failed for lack
// of capacity. Without the time of that lack, the valve opens by requests alone.
func (va *Valve) Record(short bool) {
	va.mu.Lock()
	defer va.mu.Unlock()
	if short {
		va.share *= 1 - va.cfg.Cut
		va.streak, va.step = 0, va.cfg.Step
	} else {
		va.share += va.step
		if va.streak++; va.streak > va.cfg.Streak {
			va.step *= streakFactor
		}
	}
	va.share = min(1, max(va.share, va.cfg.MinShare))
	va.step = min(1, va.step)
}

// Share returns the share of the most urgent requests that is admitted, 0 to 1.
func (va *Valve) Share() float64 {
	va.mu.Lock()
	defer va.mu.Unlock()
	return va.admittedShare()
}
