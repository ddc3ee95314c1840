package admit

import (
	"time"

	"laburnumvane/core/pace"
)

const (
	// shareTime is the time over which the recent share of an account is averaged.
	shareTime = time.Second
	// servedTime is the time over which it is compared how often accounts are served.
	servedTime = 2 * time.Second
	// leastServed: an account that is served less often than this share of how often all are
	// goes first, whatever its priority. A quarter is required; the rest is for what is still
	// waiting.
	leastServed = 0.35
	// flowTTL is how long the state of an account is kept at least after its last request, and
	// less than twice as long. With more than maxFlows accounts it is kept for less.
	flowTTL  = 10 * time.Second
	maxFlows = 4096
)

// flowKey identifies the requests that share capacity as one: those of an account with the same
// priority.
type flowKey struct {
	account  string
	priority int
}

// flow is the state of the requests of one account.
type flow[W any] struct {
	key flowKey
	// share is the cost that was started lately; offered and served count requests.
	share           pace.Sum
	offered, served pace.Sum
	queue           []*Entry[W]
	// queued is the cost of the queue.
	queued float64
}

// flows holds the flows that had requests lately in two generations.
type flows[W any] struct {
	current, old map[flowKey]*flow[W]
	rotatedAt    time.Duration
}

// find returns the flow of a key. Flows of the old generation that are not asked for, and have
// nothing waiting, are dropped with it.
func (fs *flows[W]) find(now time.Duration, key flowKey) *flow[W] {
	if fs.current == nil || now-fs.rotatedAt >= flowTTL || len(fs.current) >= maxFlows/2 {
		old := fs.current
		for _, fl := range fs.old {
			if len(fl.queue) > 0 {
				old[fl.key] = fl
			}
		}
		fs.current, fs.old, fs.rotatedAt = make(map[flowKey]*flow[W]), old, now
	}
	fl, ok := fs.current[key]
	if ok {
		return fl
	}
	if fl, ok = fs.old[key]; ok {
		delete(fs.old, key)
	} else {
		fl = &flow[W]{key: key}
	}
	fs.current[key] = fl
	return fl
}

// size returns the number of flows that are kept.
func (fs *flows[W]) size() int { return len(fs.current) + len(fs.old) }

// neglected reports whether the flow is served much less often than all.
func (ga *Gate[W]) neglected(fl *flow[W]) bool {
	offered, all := fl.offered.Value(ga.now, servedTime), ga.offered.Value(ga.now, servedTime)
	// What waits, and the request that is decided on, are among those offered and cannot have been
	// served.
	missed := offered - 1 - float64(len(fl.queue))
	return fl.served.Value(ga.now, servedTime)*all < leastServed*ga.served.Value(ga.now, servedTime)*missed
}

// before reports whether requests of fl go before those of other. What can only be late comes last
// whatever its priority: otherwise it makes others late too.
func (ga *Gate[W]) before(fl, other *flow[W]) bool {
	if a, b := fl.inTime(ga.now), other.inTime(ga.now); a != b {
		return a
	}
	if a, b := ga.neglected(fl), ga.neglected(other); a != b {
		return a
	}
	if fl.key.priority != other.key.priority {
		return fl.key.priority < other.key.priority
	}
	return fl.share.Value(ga.now, shareTime) < other.share.Value(ga.now, shareTime)
}

// costAhead returns the cost that is started before one more request of a flow. Of another flow
// with the same priority this is what it may start until its share exceeds this flow's.
func (ga *Gate[W]) costAhead(fl *flow[W]) float64 {
	ahead, neglected := fl.queued, ga.neglected(fl)
	share := fl.share.Value(ga.now, shareTime) + fl.queued
	for _, other := range ga.waiting {
		switch {
		case other == fl || neglected:
		case other.key.priority < fl.key.priority || ga.neglected(other):
			ahead += other.queued
		case other.key.priority == fl.key.priority:
			ahead += min(other.queued, max(0, share-other.share.Value(ga.now, shareTime)))
		}
	}
	return ahead
}

// next returns the entry of a flow that starts next: the first one that can still meet its target,
// or else the first.
func (fl *flow[W]) next(now time.Duration) *Entry[W] {
	for _, en := range fl.queue {
		if en.targetBy > now {
			return en
		}
	}
	return fl.queue[0]
}

// inTime reports whether an entry of the flow can still meet its target.
func (fl *flow[W]) inTime(now time.Duration) bool {
	for _, en := range fl.queue {
		if en.targetBy > now {
			return true
		}
	}
	return false
}

func (fl *flow[W]) remove(en *Entry[W]) {
	for i, other := range fl.queue {
		if other == en {
			fl.queue = append(fl.queue[:i], fl.queue[i+1:]...)
			fl.queued -= en.ar.Cost
			break
		}
	}
	if len(fl.queue) == 0 {
		fl.queue, fl.queued = nil, 0
	}
}
