package admit

import "time"

// pace is how fast a class's searches start from the queue and how long they
// take.
type pace struct {
	took  time.Duration
	every time.Duration
	last  time.Duration
	// waiting is set while something waited since last.
	waiting bool
}

const (
	tookWeight  = 16
	everyWeight = 8
)

// need is the time that a search takes once it has started, at most half of
// what is left: searches that ran into their deadlines while servers hung must
// not have all later ones refused, which would never show that it is over.
func (pa *pace) need(left time.Duration) time.Duration {
	return min(pa.took, left/2)
}

func (pa *pace) finished(took time.Duration) {
	if took <= 0 {
		return
	}
	if pa.took == 0 {
		pa.took = took
		return
	}
	pa.took += (took - pa.took) / tookWeight
}

// waits tells that a queue begins.
func (pa *pace) waits(now time.Duration) {
	pa.waiting = true
	pa.last = now
}

// started counts the interval only while something waited all through it. A
// start without a wait counts as none: else one long stall would have searches
// refused for good, since refused ones measure nothing.
func (pa *pace) started(now time.Duration, waiting bool) {
	interval := time.Duration(0)
	if pa.waiting {
		interval = now - pa.last
	}
	pa.every += (interval - pa.every) / everyWeight
	pa.last = now
	pa.waiting = waiting
}

// interval is the time between starts; while none comes, it is at least half
// the time since the last.
func (pa *pace) interval(now time.Duration) time.Duration {
	if !pa.waiting {
		return pa.every
	}
	return max(pa.every, (now-pa.last)/2)
}
