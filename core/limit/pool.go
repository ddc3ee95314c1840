package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// PoolKey names the servers of one register.
type PoolKey struct {
	Team     string
	Register string
}

// GroupKey names servers that hold the same shards.
type GroupKey struct {
	Team     string
	Register string
	Service  string
}

// PoolKey names the pool of the group.
func (gk GroupKey) PoolKey() PoolKey {
	return PoolKey{Team: gk.Team, Register: gk.Register}
}

// Pool is the groups that a search needs all of.
type Pool struct {
	// full counts, for each class, the groups that have all they may take.
	full [Classes]atomic.Int32
	// nextAt paces a pool with a group whose limit is below 1.
	nextAt [Classes]atomic.Int64
}

// Room tells whether a search of a class may start.
func (pl *Pool) Room(now time.Duration, class int) bool {
	return pl.full[class].Load() == 0 && due(now, time.Duration(pl.nextAt[class].Load()))
}

// Full is the number of groups without room for a class.
func (pl *Pool) Full(class int) int {
	return int(pl.full[class].Load())
}

// share is what a server adds to its group.
type share struct {
	limit   float64
	servers int
}

func (sh share) minus(other share) share {
	return share{limit: sh.limit - other.limit, servers: sh.servers - other.servers}
}

// group sums its servers' limits and work in flight.
type group struct {
	mu       sync.Mutex
	pool     *Pool
	levels   [Classes]float64
	inFlight int
	share    share
	full     [Classes]bool
}

// change takes in sub-requests begun or ended and a change of a share, and
// tells the pool where that fills or frees the group.
func (gr *group) change(n int, by share) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.inFlight += n
	gr.share.limit += by.limit
	gr.share.servers += by.servers
	for cl := range gr.full {
		gr.mark(cl, gr.isFull(cl))
	}
}

// begin counts a sub-request that takes about trip, in nanoseconds.
func (gr *group) begin(now time.Duration, trip float64) {
	gr.change(1, share{})
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.share.limit < 1 && gr.share.servers > 0 {
		gr.pace(now, trip)
	}
}

// isFull leaves room for one at least: with nothing in flight there is nobody
// whose replies could show that the limit may rise. A group whose servers all
// fail is never full: it must not hold up the shards of the others.
func (gr *group) isFull(cl int) bool {
	if gr.inFlight <= 0 || gr.share.servers == 0 {
		return false
	}
	return float64(gr.inFlight) >= gr.share.limit*gr.levels[cl]
}

func (gr *group) mark(cl int, full bool) {
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

// pace keeps a limit below 1: the next search waits for the rest of the time
// that one in flight stands for.
func (gr *group) pace(now time.Duration, trip float64) {
	for cl := range gr.levels {
		limit := gr.share.limit * gr.levels[cl]
		if limit < 1 {
			raise(&gr.pool.nextAt[cl], now, min(time.Duration(trip/limit), mostPause))
		}
	}
}

func raise(at *atomic.Int64, now, by time.Duration) {
	for {
		old := time.Duration(at.Load())
		later := old >= now+by && old-now <= mostPause
		if later || at.CompareAndSwap(int64(old), int64(now+by)) {
			return
		}
	}
}
