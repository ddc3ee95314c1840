package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// PoolKey identifies the servers of one register.
type PoolKey struct {
	Team     string
	Register string
}

// GroupKey identifies servers that hold the same shards.
type GroupKey struct {
	Team     string
	Register string
	Service  string
}

// PoolKey returns the key of the group's pool.
func (gk GroupKey) PoolKey() PoolKey {
	return PoolKey{Team: gk.Team, Register: gk.Register}
}

// Pool is the set of groups of one register; a search needs all of them.
type Pool struct {
	// full counts, for each class, the groups without capacity.
	full [Classes]atomic.Int32
	// nextStart is the earliest time for the next search of each class, in
	// nanoseconds, if a group's limit is below 1.
	nextStart [Classes]atomic.Int64
}

// HasCapacity reports whether a search of a class may start.
func (pl *Pool) HasCapacity(now time.Duration, class int) bool {
	return pl.full[class].Load() == 0 && pauseOver(now, time.Duration(pl.nextStart[class].Load()))
}

// Full is the number of groups without capacity for a class.
func (pl *Pool) Full(class int) int {
	return int(pl.full[class].Load())
}

// contribution is what a server adds to its group.
type contribution struct {
	limit   float64
	servers int
}

func (ct contribution) minus(other contribution) contribution {
	return contribution{limit: ct.limit - other.limit, servers: ct.servers - other.servers}
}

// group holds the sums of its servers' limits and sub-requests in flight.
type group struct {
	mu           sync.Mutex
	pool         *Pool
	classFactors [Classes]float64
	inFlight     int
	total        contribution
	full         [Classes]bool
}

// update adds n to the sub-requests in flight and by to the total, and updates the
// pool if the group becomes full or has capacity again.
func (gr *group) update(n int, by contribution) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.inFlight += n
	gr.total.limit += by.limit
	gr.total.servers += by.servers
	for cl := range gr.full {
		gr.setFull(cl, gr.isFull(cl))
	}
}

// begin counts a sub-request that takes about trip nanoseconds.
func (gr *group) begin(now time.Duration, trip float64) {
	gr.update(1, contribution{})
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.total.limit < 1 && gr.total.servers > 0 {
		gr.pace(now, trip)
	}
}

// isFull reports whether a group is full for a class. A group with nothing in flight
// is never full: without replies its limit could not increase. Nor is a group whose
// servers are all broken or excluded: it must not block searches on the other shards.
func (gr *group) isFull(cl int) bool {
	if gr.inFlight <= 0 || gr.total.servers == 0 {
		return false
	}
	return float64(gr.inFlight) >= gr.total.limit*gr.classFactors[cl]
}

func (gr *group) setFull(cl int, full bool) {
	if gr.full[cl] == full {
		return
	}
	gr.full[cl] = full
	if full {
		gr.pool.full[cl].Add(1)
	} else {
		gr.pool.full[cl].Add(-1)
	}
}

// pace applies a limit below 1: the next search has to wait for one round trip divided
// by the limit.
func (gr *group) pace(now time.Duration, trip float64) {
	for cl := range gr.classFactors {
		limit := gr.total.limit * gr.classFactors[cl]
		if limit < 1 {
			postpone(&gr.pool.nextStart[cl], now, min(time.Duration(trip/limit), maxPause))
		}
	}
}

// postpone sets at to now+by unless it is that late already. A time more than maxPause
// ahead is replaced, since the clock was set back (see pauseOver).
func postpone(at *atomic.Int64, now, by time.Duration) {
	for {
		old := time.Duration(at.Load())
		later := old >= now+by && old-now <= maxPause
		if later || at.CompareAndSwap(int64(old), int64(now+by)) {
			return
		}
	}
}
