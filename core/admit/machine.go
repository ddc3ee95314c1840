package admit

import "time"

// CapacityFunc reports whether the servers have capacity for a search of a class.
type CapacityFunc func(now time.Duration, class int) bool

// Config configures a machine. Fields that are 0 take default values.
type Config struct {
	// HasCapacity is called before each start. It is required.
	HasCapacity CapacityFunc
	// MinLimit and MaxLimit bound the VM's own limit of searches in flight, which
	// applies whatever HasCapacity returns. The limit decreases when the VM itself
	// cannot keep up.
	MinLimit int
	MaxLimit int
	// LimitShares are the shares of that limit that each class may use.
	LimitShares [Classes]float64
	// MaxQueue limits the queue of each class, MaxTeamQueue a team's part of it.
	MaxQueue     int
	MaxTeamQueue int
	// MaxWaitShare is the share of the time left that the estimated wait may
	// take.
	MaxWaitShare float64
	// MinTimeLeft is the time that must be left until the deadline for a search
	// to be admitted.
	MinTimeLeft time.Duration
	// MinRetryAfter and MaxRetryAfter bound RetryAfter before jitter is applied.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func (cfg Config) withDefaults() Config {
	defaultInt(&cfg.MinLimit, 4)
	defaultInt(&cfg.MaxLimit, 4096)
	defaultInt(&cfg.MaxQueue, 1024)
	defaultInt(&cfg.MaxTeamQueue, max(1, cfg.MaxQueue/4))
	if cfg.LimitShares == [Classes]float64{} {
		cfg.LimitShares = [Classes]float64{1, 0.9, 0.8}
	}
	if cfg.MaxWaitShare == 0 {
		cfg.MaxWaitShare = 0.5
	}
	if cfg.MinTimeLeft == 0 {
		cfg.MinTimeLeft = time.Millisecond
	}
	if cfg.MinRetryAfter == 0 {
		cfg.MinRetryAfter = 100 * time.Millisecond
	}
	if cfg.MaxRetryAfter == 0 {
		cfg.MaxRetryAfter = 30 * time.Second
	}
	return cfg
}

func defaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Machine decides on the searches that share upstreams. W identifies a search to
// its caller while it waits.
type Machine[W any] struct {
	cfg      Config
	now      time.Duration
	queues   [Classes]classQueue
	slab     slab[W]
	stats    [Classes]classStats
	inFlight int
	// pending counts the searches that were started but whose sub-requests HasCapacity
	// does not count yet.
	pending int
	limit   float64
	// quantum is the cost that a team may start in one turn: the highest cost of
	// any search so far, so that a turn is always enough for one search.
	quantum int32
	// lastCut is when the limit was last decreased.
	lastCut     time.Duration
	jitterState uint32
	grants      []Grant[W]
}

// New returns a machine without searches.
func New[W any](cfg Config) *Machine[W] {
	cfg = cfg.withDefaults()
	return &Machine[W]{cfg: cfg, limit: float64(cfg.MaxLimit), slab: slab[W]{freeHead: noEntry}}
}

// InFlight is the number of searches started and not yet done.
func (mc *Machine[W]) InFlight() int {
	return mc.inFlight
}

// Waiting is the number of queued searches.
func (mc *Machine[W]) Waiting() int {
	n := 0
	for cl := range mc.queues {
		n += mc.queues[cl].n
	}
	return n
}

// Queued is the number of queued searches of one class.
func (mc *Machine[W]) Queued(cl Class) int {
	return mc.queues[cl].n
}

// Offer decides on a search. If it is queued, a later Grant contains waiter, unless
// the search is withdrawn.
func (mc *Machine[W]) Offer(now time.Duration, rq Request, waiter W) Decision {
	mc.advanceClock(now)
	left := rq.Deadline - mc.now
	if left < mc.cfg.MinTimeLeft {
		return mc.refuse(rq, ReasonDeadlineTooClose)
	}
	mc.quantum = max(mc.quantum, rq.Cost)
	startBy := rq.Deadline - mc.stats[rq.Class].expectedDuration(left)
	if mc.nothingAhead(rq.Class) && mc.hasCapacity(rq.Class) {
		mc.countStart(rq.Class)
		return Decision{Kind: Admitted}
	}
	cq := &mc.queues[rq.Class]
	switch {
	case cq.n >= mc.cfg.MaxQueue:
		return mc.refuse(rq, ReasonQueueFull)
	case cq.teamQueue(rq.Team).n >= mc.cfg.MaxTeamQueue:
		return mc.refuse(rq, ReasonTeamQueueFull)
	}
	allowed := time.Duration(mc.cfg.MaxWaitShare * float64(startBy-mc.now))
	if mc.estimateWait(rq) > allowed {
		return mc.refuse(rq, ReasonWaitTooLong)
	}
	return Decision{Kind: Queued, Handle: mc.enqueue(rq, startBy, waiter), StartBy: startBy}
}

// nothingAhead reports whether no search of this or a higher class waits.
func (mc *Machine[W]) nothingAhead(cl Class) bool {
	for i := range int(cl) + 1 {
		if mc.queues[i].n > 0 {
			return false
		}
	}
	return true
}

func (mc *Machine[W]) hasCapacity(cl Class) bool {
	if mc.inFlight > 0 && float64(mc.inFlight) >= mc.limit*mc.cfg.LimitShares[cl] {
		return false
	}
	return mc.pending == 0 && mc.cfg.HasCapacity(mc.now, int(cl))
}

func (mc *Machine[W]) countStart(cl Class) {
	mc.inFlight++
	mc.pending++
	mc.stats[cl].recordStart(mc.now, mc.queues[cl].n > 0)
}

// estimateWait estimates how long a new search would wait.
func (mc *Machine[W]) estimateWait(rq Request) time.Duration {
	ahead := mc.queues[rq.Class].ahead(rq.Team) + 1
	return time.Duration(ahead) * mc.stats[rq.Class].interval(mc.now)
}

func (mc *Machine[W]) refuse(rq Request, re Reason) Decision {
	return Decision{Kind: Refused, Reason: re, RetryAfter: mc.retryAfter(rq)}
}

// retryAfter is the estimated time until the searches now ahead of rq have started. A
// jitter of 25 % in either direction prevents clients that were refused together
// from retrying together; steps of the golden ratio spread successive values evenly.
func (mc *Machine[W]) retryAfter(rq Request) time.Duration {
	const goldenStep = 2654435769
	mc.jitterState += goldenStep
	spread := 0.75 + 0.5*float64(mc.jitterState)/(1<<32)
	base := min(max(mc.estimateWait(rq), mc.cfg.MinRetryAfter), mc.cfg.MaxRetryAfter)
	return time.Duration(spread * float64(base))
}

func (mc *Machine[W]) enqueue(rq Request, startBy time.Duration, waiter W) Handle {
	i := mc.slab.alloc()
	en := &mc.slab.entries[i]
	en.waiter, en.rq, en.startBy, en.queued = waiter, rq, startBy, true
	cq := &mc.queues[rq.Class]
	tq := cq.teamQueue(rq.Team)
	en.next, en.prev = noEntry, tq.tail
	if tq.tail == noEntry {
		tq.head = i
	} else {
		mc.slab.entries[tq.tail].next = i
	}
	tq.tail = i
	tq.n++
	if cq.n == 0 {
		mc.stats[rq.Class].queueBegins(mc.now)
	}
	cq.n++
	if !tq.active {
		tq.active = true
		tq.deficit = mc.quantum
		cq.pushTurn(rq.Team)
	}
	return Handle{slot: i, generation: en.generation}
}

// Withdraw removes a search from the queue. It returns false if the search was
// granted or refused before.
func (mc *Machine[W]) Withdraw(now time.Duration, ha Handle) bool {
	mc.advanceClock(now)
	en := &mc.slab.entries[ha.slot]
	if !en.queued || en.generation != ha.generation {
		return false
	}
	cl := en.rq.Class
	mc.unlink(ha.slot)
	mc.stats[cl].backlogged = mc.queues[cl].n > 0
	return true
}

func (mc *Machine[W]) unlink(i int32) {
	en := &mc.slab.entries[i]
	cq := &mc.queues[en.rq.Class]
	tq := cq.teamQueue(en.rq.Team)
	if en.prev == noEntry {
		tq.head = en.next
	} else {
		mc.slab.entries[en.prev].next = en.next
	}
	if en.next == noEntry {
		tq.tail = en.prev
	} else {
		mc.slab.entries[en.next].prev = en.prev
	}
	tq.n--
	cq.n--
	mc.slab.release(i)
}

// ConfirmStart must be called once for each admitted search when its first sub-requests
// are sent, so that HasCapacity counts them; also for a search that ends without sending
// any. Until then no other search starts. Otherwise a whole queue could start into
// capacity that is already used, and the servers would shed the burst.
func (mc *Machine[W]) ConfirmStart() {
	mc.pending--
}

// Done ends a search that was admitted. Behind is set if the VM itself could not
// keep up: no worker was free, or a start was late.
func (mc *Machine[W]) Done(now time.Duration, cl Class, took time.Duration, behind bool) {
	mc.advanceClock(now)
	mc.inFlight--
	mc.stats[cl].recordDuration(took)
	mc.adaptLimit(behind)
}

// adaptLimit adapts the VM's own limit. It increases by about one for every limit
// searches that end well. If the VM is behind, it decreases to 0.9 of itself, or of
// the searches in flight plus one if that is less, at most once in the average
// duration of an interactive search.
func (mc *Machine[W]) adaptLimit(behind bool) {
	const cutFactor = 0.9
	if !behind {
		mc.limit = min(float64(mc.cfg.MaxLimit), mc.limit+1/mc.limit)
		return
	}
	if mc.now < mc.lastCut+mc.stats[Interactive].avgDuration {
		return
	}
	mc.lastCut = mc.now
	mc.limit = max(float64(mc.cfg.MinLimit), min(mc.limit, float64(mc.inFlight+1))*cutFactor)
}

func (mc *Machine[W]) advanceClock(now time.Duration) {
	mc.now = max(mc.now, now)
}
