package admit

import "time"

// Room tells whether a search of a class may start now.
type Room func(now time.Duration, class int) bool

// Config sets a machine. Fields that are 0 take the defaults of New.
type Config struct {
	// Room is asked before each start. It is required.
	Room Room
	// Most bounds the searches in flight, whatever Room says. It is the VM's
	// own limit: it adapts between Least and Most to the signs that the VM
	// itself is behind.
	Least int
	Most  int
	// Levels are the shares of that limit that each class may fill.
	Levels [Classes]float64
	// QueueMost bounds each class's queue, TeamMost a team's part of it.
	QueueMost int
	TeamMost  int
	// WaitShare is the share of the time left that a wait may take.
	WaitShare float64
	// LeastTime is the time below which a search is not worth starting.
	LeastTime time.Duration
	// LeastRetry and MostRetry bound the time after which to come back.
	LeastRetry time.Duration
	MostRetry  time.Duration
}

func (cfg Config) withDefaults() Config {
	orInt(&cfg.Least, 4)
	orInt(&cfg.Most, 4096)
	orInt(&cfg.QueueMost, 1024)
	orInt(&cfg.TeamMost, max(1, cfg.QueueMost/4))
	if cfg.Levels == [Classes]float64{} {
		cfg.Levels = [Classes]float64{1, 0.9, 0.8}
	}
	if cfg.WaitShare == 0 {
		cfg.WaitShare = 0.5
	}
	if cfg.LeastTime == 0 {
		cfg.LeastTime = time.Millisecond
	}
	if cfg.LeastRetry == 0 {
		cfg.LeastRetry = 100 * time.Millisecond
	}
	if cfg.MostRetry == 0 {
		cfg.MostRetry = 30 * time.Second
	}
	return cfg
}

func orInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Machine decides for the searches that share upstreams.
type Machine[W any] struct {
	cfg      Config
	now      time.Duration
	queues   [Classes]queue
	slab     slab[W]
	pace     [Classes]pace
	inFlight int
	// pending counts searches that were told to start and that Room does not
	// know of yet.
	pending int
	limit   float64
	// quantum is the cost that a team may start in one turn: that of the
	// costliest search seen, so that a turn is always enough for one.
	quantum  int32
	lastCut  time.Duration
	refusals uint32
	grants   []Grant[W]
}

// New makes a machine without searches.
func New[W any](cfg Config) *Machine[W] {
	cfg = cfg.withDefaults()
	return &Machine[W]{cfg: cfg, limit: float64(cfg.Most), slab: slab[W]{free: none}}
}

// InFlight is the number of searches started and not done.
func (mc *Machine[W]) InFlight() int {
	return mc.inFlight
}

// Waiting is the number of searches that wait.
func (mc *Machine[W]) Waiting() int {
	n := 0
	for cl := range mc.queues {
		n += mc.queues[cl].n
	}
	return n
}

// Queued is the number of searches of one class that wait.
func (mc *Machine[W]) Queued(cl Class) int {
	return mc.queues[cl].n
}

// Offer decides on a search. The waiter comes back in a grant if it is queued.
func (mc *Machine[W]) Offer(now time.Duration, rq Request, waiter W) Decision {
	mc.advance(now)
	left := rq.Deadline - mc.now
	if left < mc.cfg.LeastTime {
		return mc.refuse(rq, ReasonLate)
	}
	mc.quantum = max(mc.quantum, rq.Cost)
	last := rq.Deadline - mc.pace[rq.Class].need(left)
	if mc.first(rq.Class) && mc.room(rq.Class) {
		mc.start(rq.Class)
		return Decision{Kind: Admitted}
	}
	qu := &mc.queues[rq.Class]
	switch {
	case qu.n >= mc.cfg.QueueMost:
		return mc.refuse(rq, ReasonQueue)
	case qu.lane(rq.Team).n >= mc.cfg.TeamMost:
		return mc.refuse(rq, ReasonTeamQueue)
	}
	allowed := time.Duration(mc.cfg.WaitShare * float64(last-mc.now))
	if mc.wait(rq) > allowed {
		return mc.refuse(rq, ReasonWait)
	}
	return Decision{Kind: Queued, Handle: mc.push(rq, last, waiter), Until: last}
}

// first tells whether nothing waits that goes before a new search of the class.
func (mc *Machine[W]) first(cl Class) bool {
	for i := range int(cl) + 1 {
		if mc.queues[i].n > 0 {
			return false
		}
	}
	return true
}

func (mc *Machine[W]) room(cl Class) bool {
	if mc.inFlight > 0 && float64(mc.inFlight) >= mc.limit*mc.cfg.Levels[cl] {
		return false
	}
	return mc.pending == 0 && mc.cfg.Room(mc.now, int(cl))
}

func (mc *Machine[W]) start(cl Class) {
	mc.inFlight++
	mc.pending++
	mc.pace[cl].started(mc.now, mc.queues[cl].n > 0)
}

// wait estimates how long a new search would wait.
func (mc *Machine[W]) wait(rq Request) time.Duration {
	ahead := mc.queues[rq.Class].ahead(rq.Team) + 1
	return time.Duration(ahead) * mc.pace[rq.Class].interval(mc.now)
}

func (mc *Machine[W]) refuse(rq Request, re Reason) Decision {
	return Decision{Kind: Refused, Reason: re, RetryAfter: mc.retryAfter(rq)}
}

// retryAfter is the time in which what waits now will have started, spread so
// that those refused together do not come back together.
func (mc *Machine[W]) retryAfter(rq Request) time.Duration {
	const goldenStep = 2654435769
	mc.refusals += goldenStep
	spread := 0.75 + 0.5*float64(mc.refusals)/(1<<32)
	base := min(max(mc.wait(rq), mc.cfg.LeastRetry), mc.cfg.MostRetry)
	return time.Duration(spread * float64(base))
}

func (mc *Machine[W]) push(rq Request, until time.Duration, waiter W) Handle {
	i := mc.slab.take()
	en := &mc.slab.entries[i]
	en.waiter, en.rq, en.until, en.queued = waiter, rq, until, true
	qu := &mc.queues[rq.Class]
	ln := qu.lane(rq.Team)
	en.next, en.prev = none, ln.tail
	if ln.tail == none {
		ln.head = i
	} else {
		mc.slab.entries[ln.tail].next = i
	}
	ln.tail = i
	ln.n++
	if qu.n == 0 {
		mc.pace[rq.Class].waits(mc.now)
	}
	qu.n++
	if !ln.active {
		ln.active = true
		ln.deficit = mc.quantum
		qu.join(rq.Team)
	}
	return Handle{slot: i, stamp: en.stamp}
}

// Withdraw takes a search out of the queue; false if it was granted before.
func (mc *Machine[W]) Withdraw(now time.Duration, ha Handle) bool {
	mc.advance(now)
	en := &mc.slab.entries[ha.slot]
	if !en.queued || en.stamp != ha.stamp {
		return false
	}
	cl := en.rq.Class
	mc.unlink(ha.slot)
	mc.pace[cl].waiting = mc.queues[cl].n > 0
	return true
}

func (mc *Machine[W]) unlink(i int32) {
	en := &mc.slab.entries[i]
	qu := &mc.queues[en.rq.Class]
	ln := qu.lane(en.rq.Team)
	if en.prev == none {
		ln.head = en.next
	} else {
		mc.slab.entries[en.prev].next = en.next
	}
	if en.next == none {
		ln.tail = en.prev
	} else {
		mc.slab.entries[en.next].prev = en.prev
	}
	ln.n--
	qu.n--
	mc.slab.put(i)
}

// Begun tells that an admitted search has sent its first sub-requests, so that
// Room counts them; it is due once for each, also for one that ends without.
// Until then nothing else starts: a queue that empties into room which is taken
// already would be a burst that the servers shed.
func (mc *Machine[W]) Begun() {
	mc.pending--
}

// Done ends a search that was admitted. Behind tells that this VM itself could
// not keep up: no worker was free, or a start was late.
func (mc *Machine[W]) Done(now time.Duration, cl Class, took time.Duration, behind bool) {
	mc.advance(now)
	mc.inFlight--
	mc.pace[cl].finished(took)
	mc.adapt(behind)
}

// adapt moves the VM's own limit: down by a tenth at most once in a round
// trip, up by one for as many searches as are in flight.
func (mc *Machine[W]) adapt(behind bool) {
	const cutBy = 0.9
	if !behind {
		mc.limit = min(float64(mc.cfg.Most), mc.limit+1/mc.limit)
		return
	}
	if mc.now < mc.lastCut+mc.pace[Interactive].took {
		return
	}
	mc.lastCut = mc.now
	mc.limit = max(float64(mc.cfg.Least), min(mc.limit, float64(mc.inFlight+1))*cutBy)
}

func (mc *Machine[W]) advance(now time.Duration) {
	mc.now = max(mc.now, now)
}
