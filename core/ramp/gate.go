package ramp

import (
	"math"
	"sync"
	"time"

	"laburnumvane/core/origin"
	"laburnumvane/core/retry"
)

const (
	// window is the span within which requests are counted.
	window = time.Second
	// margin is how much longer a request is counted: the way to the server may take a
	// little less for a later one.
	margin = 20 * time.Millisecond
	// askFirst is how long an owner is not asked again after it had no room, and doubles with
	// each further time up to askMost: a request that is denied a shard's only servers has had
	// all others work for nothing.
	askFirst = 200 * time.Millisecond
	askMost  = 2 * time.Second
)

// Bounds say what a server bears while it warms up, beside its own rate.
type Bounds struct {
	// Overage is a factor on its rate, and Slack what it bears on top within a second.
	Overage float64
	Slack   float64
}

// Most is how many requests a server may get within a second; perSecond is its rate.
func (bo Bounds) Most(perSecond float64) int {
	// What a product falls short of a whole number by rounding still is that number.
	const tolerance = 1e-9
	return int(math.Floor(perSecond*bo.Overage + bo.Slack + tolerance))
}

// Gate counts what this VM sends to servers that warm up. It is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	sent map[origin.Process]*count
	// stands is set while this VM may be an owner, since a time, and until is when that ends
	// by itself.
	stands       bool
	since, until time.Duration
	// news is when the store was heard, here or elsewhere.
	news time.Duration
	// probes are the latest VMs of other data centres that were asked for a sign of life.
	probes []probe
}

// count is what one server got.
type count struct {
	// times are those of the requests of the last window.
	times []time.Duration
	// askAt is when its owner may be asked again, and denials how many times in a row it had
	// no room.
	askAt   time.Duration
	denials int
}

// New makes a gate that lets nothing through yet.
func New() *Gate { return &Gate{sent: make(map[origin.Process]*count)} }

// Take tells whether one more request may be sent to a server that this VM owns and that may
// get so many within a second, and counts it.
func (ga *Gate) Take(now time.Duration, pr origin.Process, most int) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.standsAt(now) {
		return false
	}
	co := ga.of(pr)
	past := 0
	for past < len(co.times) && now-co.times[past] > window+margin {
		past++
	}
	co.times = co.times[past:]
	if len(co.times) >= most {
		return false
	}
	co.times = append(co.times, now)
	return true
}

// Asked notes whether a server's owner sent a request.
func (ga *Gate) Asked(now time.Duration, pr origin.Process, sent bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	co := ga.of(pr)
	switch {
	case sent:
		co.denials, co.askAt = 0, now
	case now >= co.askAt:
		// Of those that were under way at once the first one counts.
		co.denials++
		bo := retry.Backoff{First: askFirst, Most: askMost}
		co.askAt = now + bo.Wait(co.denials, 0)
	}
}

// MayAsk tells whether a server's owner may have room.
func (ga *Gate) MayAsk(now time.Duration, pr origin.Process) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	co, ok := ga.sent[pr]
	return !ok || now >= co.askAt
}

func (ga *Gate) of(pr origin.Process) *count {
	co, ok := ga.sent[pr]
	if !ok {
		co = &count{}
		ga.sent[pr] = co
	}
	return co
}

// Keep forgets all servers but those.
func (ga *Gate) Keep(dir *origin.Directory) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for pr := range ga.sent {
		if !dir.Has(pr) {
			delete(ga.sent, pr)
		}
	}
}
