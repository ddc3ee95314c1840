package admit

import "time"

// classStats holds averages for one class: the interval between starts from the
// queue and the duration of a search.
type classStats struct {
	avgDuration time.Duration
	avgInterval time.Duration
	lastStart   time.Duration
	// backlogged is set if the queue has not been empty since lastStart.
	backlogged bool
}

// Divisors of the moving averages: a new value has the weight of the reciprocal.
const (
	durationWeight = 16
	intervalWeight = 8
)

// expectedDuration is the expected duration of a search once it has started, at
// most half of the time left. Without that maximum, searches that reached their
// deadlines while servers did not answer would cause all later ones to be refused,
// and the recovery of the servers would never be observed.
func (cs *classStats) expectedDuration(left time.Duration) time.Duration {
	return min(cs.avgDuration, left/2)
}

func (cs *classStats) recordDuration(took time.Duration) {
	if took <= 0 {
		return
	}
	if cs.avgDuration == 0 {
		cs.avgDuration = took
		return
	}
	cs.avgDuration += (took - cs.avgDuration) / durationWeight
}

// queueBegins records that a search was added to an empty queue.
func (cs *classStats) queueBegins(now time.Duration) {
	cs.backlogged = true
	cs.lastStart = now
}

// recordStart updates the average interval between starts. The interval counts only
// if the queue was not empty all through it; otherwise it counts as 0. Without
// that, one long stall would cause searches to be refused indefinitely, since
// refused searches measure nothing.
func (cs *classStats) recordStart(now time.Duration, waiting bool) {
	interval := time.Duration(0)
	if cs.backlogged {
		interval = now - cs.lastStart
	}
	cs.avgInterval += (interval - cs.avgInterval) / intervalWeight
	cs.lastStart = now
	cs.backlogged = waiting
}

// interval is the average interval between starts. While searches wait, it is at
// least half the time since the last start.
func (cs *classStats) interval(now time.Duration) time.Duration {
	if !cs.backlogged {
		return cs.avgInterval
	}
	return max(cs.avgInterval, (now-cs.lastStart)/2)
}
