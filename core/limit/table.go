package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/view"
)

const (
	// recentReplies is the weight of the newest reply in what is recent.
	recentReplies = 16
	// baseReplies is its weight in the latency without a queue.
	baseReplies = 128
	// baseRise is the share by which that latency may rise in a second.
	baseRise = 0.02
	// quietTrips is the number of round trips without a queue that doubles the
	// step.
	quietTrips = 16
	// mostTrips and mostCut bound the weight of one reply.
	mostTrips = 8
	mostCut   = 0.1
	// stuckTimes is how many times that latency a sub-request that was given
	// up must have taken to count as a failure.
	stuckTimes = 8
	// brokenAfter is the number of failures in a row after which a server is
	// taken to fail.
	brokenAfter = 3
)

// Config sets a table. Fields that are 0 take the defaults of New.
type Config struct {
	// Start, Least and Most bound a server's limit, in sub-requests.
	Start float64
	Least float64
	Most  float64
	// Step is the rise of a limit of 1 in one round trip without a queue.
	Step float64
	// Press is the number of sub-requests queued per one running above which
	// the limit is cut.
	Press float64
	// Slow is the recent latency, in multiples of the one without a queue,
	// above which the limit is cut.
	Slow float64
	// QueueCut is the share taken off the limit in one round trip with a queue,
	// ShedCut and FailCut those by refusals and failures.
	QueueCut float64
	ShedCut  float64
	FailCut  float64
	// Slack is a difference of latency that says nothing: scheduling on either
	// side brings as much.
	Slack time.Duration
	// LeastTrip is the round trip assumed at least.
	LeastTrip time.Duration
	// Levels are what each class may fill of a group's limit, in multiples of
	// it, first class first. The first class may go far over: it is a small part
	// of the load, its waiting would be for the worst of many groups, and what
	// it takes brings the limit of the others down.
	Levels [Classes]float64
}

// Classes is the number of classes of searches.
const Classes = 3

func (cfg Config) withDefaults() Config {
	for _, one := range []struct {
		field *float64
		value float64
	}{
		{&cfg.Start, 2},
		{&cfg.Least, 0.05},
		{&cfg.Most, 64},
		{&cfg.Step, 0.035},
		{&cfg.Press, 0.6},
		{&cfg.Slow, 2},
		{&cfg.QueueCut, 0.05},
		{&cfg.ShedCut, 0.2},
		{&cfg.FailCut, 0.5},
		{&cfg.Levels[0], 10},
		{&cfg.Levels[1], 1},
		{&cfg.Levels[2], 0.85},
	} {
		if *one.field == 0 {
			*one.field = one.value
		}
	}
	if cfg.Slack == 0 {
		cfg.Slack = 5 * time.Millisecond
	}
	if cfg.LeastTrip == 0 {
		cfg.LeastTrip = time.Millisecond
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

// New makes a table without servers.
func New(cfg Config) *Table {
	tb := &Table{
		cfg:    cfg.withDefaults(),
		groups: make(map[GroupKey]*group),
		pools:  make(map[PoolKey]*Pool),
	}
	tb.servers.Store(&[]*server{})
	return tb
}

// Len is the number of servers placed; their ids are below it.
func (tb *Table) Len() int {
	return len(*tb.servers.Load())
}

// Place puts the next server into its group. Ids are placed in order, each
// once; a repeated one changes nothing.
func (tb *Table) Place(id view.ServerID, key GroupKey) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	servers := *tb.servers.Load()
	if int(id) != len(servers) {
		return
	}
	gr, ok := tb.groups[key]
	if !ok {
		gr = &group{pool: tb.poolOf(key.PoolKey()), levels: tb.cfg.Levels}
		tb.groups[key] = gr
	}
	sv := newServer(&tb.cfg)
	sv.group = gr
	// Appending shares the old array: readers of the old header never look
	// past its length.
	servers = append(servers, sv)
	tb.servers.Store(&servers)
	gr.change(0, sv.share())
}

// Pool returns the pool of a register, without groups if none was placed yet.
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

// Begin counts a sub-request as in flight.
func (tb *Table) Begin(now time.Duration, id view.ServerID) {
	tb.of(id).begin(now)
}

// End settles a sub-request that Begin counted.
func (tb *Table) End(now time.Duration, id view.ServerID, sa Sample) {
	tb.of(id).end(now, sa)
}

// Room tells whether a server may be sent one more.
func (tb *Table) Room(now time.Duration, id view.ServerID) bool {
	return tb.of(id).room(now)
}

// Fallback picks the server to use where none of the list has room: the one
// with the least work for its limit. Servers that fail get none of it, so a
// shard that only such servers hold is given up at once and the answer is
// partial, rather than late.
func (tb *Table) Fallback(ids []view.ServerID) (view.ServerID, bool) {
	var best view.ServerID
	least := math.Inf(1)
	for _, id := range ids {
		sv := tb.of(id)
		if !sv.whole() {
			continue
		}
		if ld := sv.load(); ld < least {
			best, least = id, ld
		}
	}
	return best, !math.IsInf(least, 1)
}

// Load is a server's work in flight, one more included, in units of its limit.
func (tb *Table) Load(id view.ServerID) float64 {
	return tb.of(id).load()
}

// Limit is a server's present limit.
func (tb *Table) Limit(id view.ServerID) float64 {
	sv := tb.of(id)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.limit
}

// InFlight is the number of sub-requests in flight on a server.
func (tb *Table) InFlight(id view.ServerID) int {
	sv := tb.of(id)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.inFlight
}

// SetOut takes a server that gets no new work out of its group's limit, or
// back in. One that comes back starts with the limit of a new server: what was
// learnt of the process before it says nothing.
func (tb *Table) SetOut(id view.ServerID, out bool) {
	sv := tb.of(id)
	sv.mu.Lock()
	if sv.out == out {
		sv.mu.Unlock()
		return
	}
	before := sv.share()
	sv.out = out
	if !out {
		sv.limit = sv.cfg.Start
		sv.bad = 0
	}
	after := sv.share()
	gr := sv.group
	sv.mu.Unlock()
	gr.change(0, after.minus(before))
}

func (tb *Table) of(id view.ServerID) *server {
	return (*tb.servers.Load())[id]
}
