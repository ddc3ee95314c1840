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

// told is the last load of a server, as of at.
type told struct {
	load Load
	at   time.Duration
}

// Tell takes in what a server tells of itself.
func (tb *Table) Tell(now time.Duration, pr origin.Process, lo Load) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.of(pr).told = told{load: lo, at: now}
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
