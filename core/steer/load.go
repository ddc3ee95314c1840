package steer

import (
	"time"

	"laburnumvane/core/origin"
)

// Load is what a server tells of itself with an answer.
type Load struct {
	// Running and Waiting are requests, and Slots how many it works on at once.
	Running, Waiting, Slots int
	// Pace is how many times as long as usual work takes on its machine at this moment; 0 if it
	// does not say.
	Pace float64
}

// told is the last load of a server, as of at. Its pace was off the usual since slowAt.
type told struct {
	load   Load
	at     time.Duration
	slowAt time.Duration
}

const (
	// slowPace is a pace that counts as off the usual.
	slowPace = 1.5
	// paceLeast and paceMost bound how long a pace is taken to last: as long as it has, for
	// a neighbour's burst ends within some tens of milliseconds and a fault lasts seconds.
	paceLeast = 15 * time.Millisecond
	paceMost  = 4 * time.Second
	// queueFor is how long a told queue says something: a few requests' time.
	queueFor = 50 * time.Millisecond
)

// Tell takes in what a server tells of itself, with an answer that took so long or 0.
func (tb *Table) Tell(now time.Duration, up *origin.Upstream, lo Load, took time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.tells[up.Service] = true
	me := tb.of(up.Process())
	was := me.told
	me.told = told{load: lo, at: now, slowAt: now}
	if lo.Pace < slowPace {
		return
	}
	if was.load.Pace >= slowPace {
		me.told.slowAt = was.slowAt
	}
	// It was as slow all the while that it worked on this one.
	if float64(took) >= lo.Pace*float64(me.expect)/2 && me.expect > 0 {
		me.told.slowAt = min(me.told.slowAt, now-took)
	}
}

// pace is how many times as long as usual work is thought to take, as the server told.
func (to *told) pace(now time.Duration) float64 {
	if to.load.Pace <= 1 {
		return 1
	}
	lasts := min(max(to.at-to.slowAt, paceLeast), paceMost)
	return 1 + (to.load.Pace-1)*fading(now-to.at, lasts)
}

// wait is how many requests' time one more has to wait, as the server told.
func (to *told) wait(now time.Duration) float64 {
	if to.load.Slots == 0 {
		return 0
	}
	ahead := to.load.Running + to.load.Waiting + 1 - to.load.Slots
	return max(0, float64(ahead)) / float64(to.load.Slots) * fading(now-to.at, queueFor)
}

// Told is what a server told last and how long ago; ok is false if it never did. It changes
// many times a second, so that its age decides what it is worth.
func (tb *Table) Told(now time.Duration, pr origin.Process) (lo Load, age time.Duration, ok bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me, seen := tb.seen[pr]
	if !seen || me.told.load.Slots == 0 {
		return Load{}, 0, false
	}
	return me.told.load, now - me.told.at, true
}

// Ready leaves the servers that told just now that work takes there as long as usual, and that
// a request need not wait; where none did, those that did not tell that they are slow.
func (tb *Table) Ready(now time.Duration, ups []*origin.Upstream) (ready []*origin.Upstream) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var waits []*origin.Upstream
	for _, up := range ups {
		me, seen := tb.seen[up.Process()]
		switch {
		case !seen || me.told.pace(now) >= slowPace:
		case me.told.wait(now) > 0:
			waits = append(waits, up)
		default:
			ready = append(ready, up)
		}
	}
	if len(ready) == 0 {
		return waits
	}
	return ready
}

// Tells tells whether servers of a service tell their load; known is false until one answered.
func (tb *Table) Tells(service string) (tells, known bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tells, known = tb.tells[service]
	return tells, known
}

// TellsNot notes that a server of a service told no load.
func (tb *Table) TellsNot(service string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if _, known := tb.tells[service]; !known {
		tb.tells[service] = false
	}
}

// Misread tells whether this is the first load of a server that could not be read: a server
// that errs may do so with every answer.
func (tb *Table) Misread(pr origin.Process) (first bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me := tb.of(pr)
	first = !me.misread
	me.misread = true
	return first
}
