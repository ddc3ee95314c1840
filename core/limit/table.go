package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/view"
)

const (
	// recentWindow is the number of replies that the recent latency averages:
	// the newest has the weight of its reciprocal.
	recentWindow = 16
	// baseWindow is the same for the latency without a queue.
	baseWindow = 128
	// maxBaseRise is the share by which that latency may rise in a second.
	maxBaseRise = 0.02
	// stepDoublingTrips is the number of round trips without a queue after
	// which the step has doubled.
	stepDoublingTrips = 16
	// maxTrips and maxQueueCut limit the effect of one reply: the round trips
	// that it counts for, and the share that a queue takes off the limit.
	maxTrips    = 8
	maxQueueCut = 0.1
	// stuckFactor times the latency without a queue is how long a cancelled
	// sub-request must have taken to count as a failure.
	stuckFactor = 8
	// brokenAfter is the number of failures in a row after which a server
	// counts as broken.
	brokenAfter = 3
)

// Config configures a table. Fields that are 0 take default values.
type Config struct {
	// InitialLimit is the limit of a new server, MinLimit and MaxLimit the
	// bounds of each limit, in sub-requests in flight.
	InitialLimit float64
	MinLimit     float64
	MaxLimit     float64
	// Step is the increase of a limit of 1 in one round trip without a queue.
	Step float64
	// MaxQueueRatio is the number of queued sub-requests per running one above
	// which the limit is decreased.
	MaxQueueRatio float64
	// SlowFactor is the recent latency, in multiples of that without a queue,
	// above which the limit is decreased.
	SlowFactor float64
	// QueueCut is the share by which one round trip with a queue decreases the
	// limit, ShedCut and FailCut those for refusals and failures.
	QueueCut float64
	ShedCut  float64
	FailCut  float64
	// LatencyTolerance is a difference of latency that is ignored, since
	// scheduling on either side can cause as much.
	LatencyTolerance time.Duration
	// MinRoundTrip is the minimum assumed for the round-trip time.
	MinRoundTrip time.Duration
	// ClassFactors are the multiples of a group's limit that each class may
	// use, the highest class first. The highest class may far exceed the limit:
	// it is a small part of the load, it would have to wait for the slowest of
	// many groups, and its load decreases the limit for the other classes.
	ClassFactors [Classes]float64
}

// Classes is the number of classes of searches.
const Classes = 3

func (cfg Config) withDefaults() Config {
	for _, df := range []struct {
		field *float64
		value float64
	}{
		{&cfg.InitialLimit, 2},
		{&cfg.MinLimit, 0.05},
		{&cfg.MaxLimit, 64},
		{&cfg.Step, 0.035},
		{&cfg.MaxQueueRatio, 0.6},
		{&cfg.SlowFactor, 2},
		{&cfg.QueueCut, 0.05},
		{&cfg.ShedCut, 0.2},
		{&cfg.FailCut, 0.5},
		{&cfg.ClassFactors[0], 10},
		{&cfg.ClassFactors[1], 1},
		{&cfg.ClassFactors[2], 0.85},
	} {
		if *df.field == 0 {
			*df.field = df.value
		}
	}
	if cfg.LatencyTolerance == 0 {
		cfg.LatencyTolerance = 5 * time.Millisecond
	}
	if cfg.MinRoundTrip == 0 {
		cfg.MinRoundTrip = time.Millisecond
	}
	return cfg
}

// Table holds the limits on all servers.
type Table struct {
	cfg     Config
	servers atomic.Pointer[[]*server]
	mu      sync.Mutex
	groups  map[GroupKey]*group
	pools   map[PoolKey]*Pool
}

// New returns a table without servers.
func New(cfg Config) *Table {
	tb := &Table{
		cfg:    cfg.withDefaults(),
		groups: make(map[GroupKey]*group),
		pools:  make(map[PoolKey]*Pool),
	}
	tb.servers.Store(&[]*server{})
	return tb
}

// Len is the number of servers in the table; their IDs are below it.
func (tb *Table) Len() int {
	return len(*tb.servers.Load())
}

// Add adds a server to its group. IDs must be added in order, from 0; an ID other
// than the next one is ignored.
func (tb *Table) Add(id view.ServerID, key GroupKey) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	servers := *tb.servers.Load()
	if int(id) != len(servers) {
		return
	}
	gr, ok := tb.groups[key]
	if !ok {
		gr = &group{pool: tb.poolOf(key.PoolKey()), classFactors: tb.cfg.ClassFactors}
		tb.groups[key] = gr
	}
	sv := newServer(&tb.cfg)
	sv.group = gr
	// Appending may share the old array: readers of the old slice never read
	// beyond its length.
	servers = append(servers, sv)
	tb.servers.Store(&servers)
	gr.update(0, sv.contribution())
}

// Pool returns the pool of a register; it has no groups if no server was added yet.
func (tb *Table) Pool(key PoolKey) *Pool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.poolOf(key)
}

func (tb *Table) poolOf(key PoolKey) *Pool {
	pl, ok := tb.pools[key]
	if !ok {
		pl = new(Pool)
		tb.pools[key] = pl
	}
	return pl
}

// Begin counts a sub-request as in flight on a server.
func (tb *Table) Begin(now time.Duration, id view.ServerID) {
	tb.serverOf(id).begin(now)
}

// End ends a sub-request that Begin counted, and adapts the server's limit.
func (tb *Table) End(now time.Duration, id view.ServerID, sa Sample) {
	tb.serverOf(id).end(now, sa)
}

// HasCapacity reports whether a server may be sent one more sub-request.
func (tb *Table) HasCapacity(now time.Duration, id view.ServerID) bool {
	return tb.serverOf(id).hasCapacity(now)
}

// Fallback returns the server to use if none of ids has capacity: the one with the
// least work relative to its limit. It never returns a broken or excluded server. If
// only such servers hold a shard, it returns false, so that the answer is partial
// at once rather than late.
func (tb *Table) Fallback(ids []view.ServerID) (view.ServerID, bool) {
	var best view.ServerID
	least := math.Inf(1)
	for _, id := range ids {
		sv := tb.serverOf(id)
		if !sv.usable() {
			continue
		}
		if ld := sv.load(); ld < least {
			best, least = id, ld
		}
	}
	return best, !math.IsInf(least, 1)
}

// Load is a server's sub-requests in flight plus one, divided by its limit.
func (tb *Table) Load(id view.ServerID) float64 {
	return tb.serverOf(id).load()
}

// Limit is a server's present limit.
func (tb *Table) Limit(id view.ServerID) float64 {
	sv := tb.serverOf(id)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.limit
}

// InFlight is the number of sub-requests in flight on a server.
func (tb *Table) InFlight(id view.ServerID) int {
	sv := tb.serverOf(id)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.inFlight
}

// SetExcluded excludes a server that gets no new work from its group's limit, or includes
// it again. A server that is included again starts with the limit of a new server,
// since what was learnt about its former process does not apply.
func (tb *Table) SetExcluded(id view.ServerID, excluded bool) {
	sv := tb.serverOf(id)
	sv.mu.Lock()
	if sv.excluded == excluded {
		sv.mu.Unlock()
		return
	}
	before := sv.contribution()
	sv.excluded = excluded
	if !excluded {
		sv.limit = sv.cfg.InitialLimit
		sv.failures = 0
	}
	after := sv.contribution()
	gr := sv.group
	sv.mu.Unlock()
	gr.update(0, after.minus(before))
}

func (tb *Table) serverOf(id view.ServerID) *server {
	return (*tb.servers.Load())[id]
}
