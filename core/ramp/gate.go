package ramp

import (
	"math"
	"sync"
	"time"

	"laburnumvane/core/origin"
	"laburnumvane/core/retry"
)

const (
	// Window is the span within which requests are counted.
	Window = time.Second
	// margin is how much longer a request is counted: the way to the server may take a
	// little less for a later one.
	margin = 20 * time.Millisecond
	// FreshFor is how old the copy of the store may be for this VM to speak for the fleet.
	FreshFor = 1800 * time.Millisecond
	// Handover is how long this VM must have stood in such a copy: longer than FreshFor and
	// the way of news between two VMs.
	Handover = 2500 * time.Millisecond
	// askFirst is how long an owner is not asked again after it had no room, and doubles with
	// each further time up to askMost: a request that is denied a shard's only servers has had
	// all others work for nothing.
	askFirst = 200 * time.Millisecond
	askMost  = 2 * time.Second
	// doubtAfter is how old news is before others are asked for a sign of life: older than it
	// gets while the store is heard. Their answers count for probeFor; probesLeast of them, and
	// probesShare of those that were asked, show that this VM reaches most others.
	doubtAfter  = 1100 * time.Millisecond
	probeFor    = 1500 * time.Millisecond
	probesLeast = 2
	probesShare = 0.75
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

// probe is one of them.
type probe struct {
	at       time.Duration
	answered bool
}

// count is what one server got.
type count struct {
	// times are those of the requests of the last Window.
	times []time.Duration
	// askAt is when its owner may be asked again, and denials how many times in a row it had
	// no room.
	askAt   time.Duration
	denials int
}

// New makes a gate that lets nothing through yet.
func New() *Gate { return &Gate{sent: make(map[origin.Process]*count)} }

// Look takes in how old the copy of the store is, and whether this VM's own entry stands in it.
func (ga *Gate) Look(now, age time.Duration, listed bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.news = now - age
	if !listed || age > FreshFor || ga.stands && now > ga.until {
		ga.stands = false
	}
	if !listed || age > FreshFor {
		return
	}
	if !ga.stands {
		ga.stands, ga.since = true, now
	}
	ga.until = now - age + FreshFor
}

// Stands tells whether this VM may send to servers that it owns.
func (ga *Gate) Stands(now time.Duration) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.standsAt(now)
}

func (ga *Gate) standsAt(now time.Duration) bool {
	return ga.stands && now-ga.since >= Handover && now <= ga.until
}

// Probed takes in whether a VM of another data centre gave a sign of life.
func (ga *Gate) Probed(now time.Duration, answered bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.probes = append(ga.probes, probe{at: now, answered: answered})
	for len(ga.probes) > 0 && now-ga.probes[0].at > probeFor {
		ga.probes = ga.probes[1:]
	}
}

// Doubts tells whether VMs of other data centres should be asked for a sign of life: this VM may
// soon count as blind.
func (ga *Gate) Doubts(now time.Duration) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return now-ga.news > doubtAfter
}

// Blind tells whether servers may have turned cold without this VM's knowing: it has had no news
// for a while, and does not reach most others, which may have some. Those that it reaches would
// have told it. Where all VMs lack news alike, nobody can have had a data centre evacuated.
func (ga *Gate) Blind(now time.Duration) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if now-ga.news <= FreshFor {
		return false
	}
	asked, answered := 0, 0
	for _, pr := range ga.probes {
		if now-pr.at <= probeFor {
			asked++
			if pr.answered {
				answered++
			}
		}
	}
	return asked < probesLeast || float64(answered) < probesShare*float64(asked)
}

// Take tells whether one more request may be sent to a server that this VM owns and that may
// get so many within Window, and counts it.
func (ga *Gate) Take(now time.Duration, pr origin.Process, most int) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.standsAt(now) {
		return false
	}
	co := ga.of(pr)
	past := 0
	for past < len(co.times) && now-co.times[past] > Window+margin {
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
