package admit

import (
	"time"

	"laburnumvane/core/pace"
)

// Defaults of a GateConfig.
const (
	DefaultMaxWaiting = 512
	DefaultMaxBytes   = 16 << 20
	DefaultMaxWait    = 2 * time.Second
)

const (
	// accountQueueShare is the part of the queue that one account may fill.
	accountQueueShare = 0.25
	// lastingAfter is how long requests must wait without interruption until requests are accepted
	// only if they can meet their target, if as much arrives as this VM can do. Before that the
	// deadline counts: a short surge is better answered late than refused.
	lastingAfter = 110 * time.Millisecond
	// slowAfter is how long a route's servers must be too slow for its target, for their load, until
	// requests are refused for it.
	slowAfter = 95 * time.Millisecond
	// lastingAtMost is the same as lastingAfter whatever arrives. demandTime is the time over which the cost of
	// what arrives is averaged. With 1 s, chance alone exceeds the capacity so often at 0.85 of it
	// that more than 1 in 100 requests are refused.
	lastingAtMost = 500 * time.Millisecond
	demandTime    = 1500 * time.Millisecond
	// trialShare is the share of the requests refused for slow servers that is run all the same,
	// so that this VM learns when the servers have recovered.
	trialShare = 0.25
	// loadRatio: servers that take this many times as long as without load are slow for their load,
	// even if they would be too slow for the target without it. With 2, a slow server with one
	// request ahead would count.
	loadRatio = 3
	// localWeight is the divisor of the moving averages of local times.
	localWeight = 16
	// deviations is how many mean deviations are allowed for in the local time.
	deviations = 2
	// dueShare is the share of that time after which, with the time of the servers, a request that
	// has not ended is assumed to wait for servers. With 1, requests that wait for a shard that they
	// can do without leave too little room for others at 0.85 of the capacity.
	dueShare = 0.8
	// leastRateShare bounds what more urgent requests take off the rate of less urgent ones.
	leastRateShare = 0.1
	// ownShare: a request is refused for its account's own load if this share of what is ahead of
	// it is the account's.
	ownShare = 0.5
)

// Reasons of a Gate, besides those of a Machine.
const (
	// ReasonServers: the servers cannot answer in time.
	ReasonServers Reason = "serversBusy"
	// ReasonAccount: what waits ahead is mostly of the same account.
	ReasonAccount Reason = "accountShare"
	// ReasonLocal: this VM itself would take too long, even without a wait.
	ReasonLocal Reason = "vmBusy"
)

// GateConfig configures a Gate. Fields that are 0 take the defaults.
type GateConfig struct {
	Pace pace.Config
	// MaxWaiting, MaxBytes and MaxWait bound what waits: requests, their bytes, and the time of
	// each.
	MaxWaiting int
	MaxBytes   int
	MaxWait    time.Duration
}

// Arrival is a request that wants to be run.
type Arrival struct {
	// Account is empty for a request without an account.
	Account string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	Route    string
	// Cost is the number of sub-requests, Bytes the memory held while the request waits.
	Cost  float64
	Bytes int
	// Servers is how long the servers take to answer with the least coverage, as far as is known.
	// Unloaded is the same if nothing else were sent to them.
	Servers, Unloaded time.Duration
	// Target is the time by which an answer has its full value, Deadline that after which it has
	// none.
	Target, Deadline time.Duration
	// sent is when it was sent, due when it is expected to end; 0 before.
	sent, due time.Duration
}

// Verdict is the decision on an arrival.
type Verdict[W any] struct {
	Kind       Kind
	Reason     Reason
	RetryAfter time.Duration
	// Entry is set if Kind is Queued.
	Entry *Entry[W]
}

// Entry is a request that waits.
type Entry[W any] struct {
	waiter W
	ar     Arrival
	fl     *flow[W]
	// startBy is the time by which it must start, targetBy the same to meet its target.
	startBy, targetBy time.Duration
	queued            bool
}

// StartBy returns the time by which the request must start.
func (en *Entry[W]) StartBy() time.Duration { return en.startBy }

// Gate decides on the requests of one VM by the VM's own capacity, the state of the servers, and
// the shares of the accounts. W identifies a request to its caller while it waits. A Gate is not
// safe for concurrent use.
type Gate[W any] struct {
	cfg   GateConfig
	now   time.Duration
	pace  *pace.Estimator
	flows flows[W]
	// waiting lists the flows with a queue.
	waiting []*flow[W]
	count   int
	bytes   int
	// inProgress is the cost that was started and has not ended.
	inProgress float64
	// away holds the requests that wait for servers, and due all that were sent until they are
	// expected to end. Overdue is the cost of those that have not ended by then: they wait for
	// servers that are slower than expected, or for parts that the answer does not need.
	away, due       absences
	overdue         float64
	offered, served pace.Sum
	// demand is the cost of what arrived lately.
	demand pace.Sum
	// backlogSince is since when requests have waited without interruption.
	backlogSince time.Duration
	routes       map[string]*routeState
	// routesSet is set once SetRoutes was called: routes holds those of the configuration.
	routesSet bool
	started   map[int]*pace.Sum
	retry     retrySlots
	// trimmed lists the entries that were removed and have not got a Grant yet.
	trimmed []*Entry[W]
	grants  []Grant[W]
}

// NewGate returns a Gate without requests.
func NewGate[W any](cfg GateConfig) *Gate[W] {
	defaultInt(&cfg.MaxWaiting, DefaultMaxWaiting)
	defaultInt(&cfg.MaxBytes, DefaultMaxBytes)
	if cfg.MaxWait == 0 {
		cfg.MaxWait = DefaultMaxWait
	}
	return &Gate[W]{
		cfg:     cfg,
		pace:    pace.New(cfg.Pace),
		routes:  make(map[string]*routeState),
		started: make(map[int]*pace.Sum),
	}
}

// Offer decides on a request. If it is queued, a later Grant contains waiter unless the request is
// withdrawn; Step must be called then, since another request may have lost its place.
func (ga *Gate[W]) Offer(now time.Duration, ar Arrival, waiter W) Verdict[W] {
	ga.advance(now)
	ga.pace.Begin(ar.Cost)
	fl := ga.flows.find(ga.now, flowKey{account: ar.Account, priority: ar.Priority})
	fl.offered.Add(ga.now, servedTime, 1)
	ga.offered.Add(ga.now, servedTime, 1)
	ga.demand.Add(ga.now, demandTime, ar.Cost)
	need := ar.Servers + ga.localTime(ar)
	if re := ga.tooSlow(ar, need); re != "" {
		return ga.refuse(re, ar, 0)
	}
	if ga.count == 0 && ga.hasRoom(ar.Cost) {
		ga.start(fl, ar)
		return Verdict[W]{Kind: Admitted}
	}
	if re := ga.full(fl, ar); re != "" {
		return ga.refuse(re, ar, ga.wait(fl, ar))
	}
	wait := ga.wait(fl, ar)
	en := &Entry[W]{
		waiter: waiter, ar: ar, fl: fl, queued: true,
		startBy: min(ar.Deadline-need, ga.now+ga.cfg.MaxWait), targetBy: ar.Target - need,
	}
	startBy := en.startBy
	if ga.lasting() {
		startBy = min(startBy, en.targetBy)
	}
	if ga.now+wait > startBy {
		re := ReasonWaitTooLong
		if fl.queued > ownShare*ga.costAhead(fl) && len(ga.waiting) > 1 {
			re = ReasonAccount
		}
		return ga.refuse(re, ar, wait)
	}
	ga.enqueue(en)
	if ga.trim(en, startBy-ga.now) {
		return ga.refuse(ReasonWaitTooLong, ar, wait)
	}
	return Verdict[W]{Kind: Queued, Entry: en}
}

// slowExpiry is how long after a request that found the servers too slow another one is taken for the
// same spell. Slow spells of servers last for half a second.
const slowExpiry = time.Second

// tooSlow returns why a request cannot be answered in time even if it starts at once; empty if it
// can.
func (ga *Gate[W]) tooSlow(ar Arrival, need time.Duration) Reason {
	rs := ga.route(ar.Route)
	switch {
	case ga.now+ar.Servers <= ar.Target || !ar.slowForLoad(ga.now):
		rs.slowSince = 0
	case rs.slowSince == 0 || ga.now-rs.slowAt > slowExpiry:
		rs.slowSince = max(1, ga.now)
		rs.slowAt = ga.now
	default:
		rs.slowAt = ga.now
	}
	switch {
	case ga.now >= ar.Deadline:
		return ReasonDeadlineTooClose
	case ga.now+ar.Servers > ar.Deadline, rs.slowSince > 0 && ga.now-rs.slowSince >= slowAfter:
		if rs.credit += trialShare; rs.credit >= 1 {
			rs.credit--
			return ""
		}
		return ReasonServers
	case ga.now+need > ar.Deadline && ga.inProgress > 0 && ga.pace.Behind():
		// While this VM is not behind, earlier requests took long because of single servers.
		return ReasonLocal
	}
	return ""
}

// slowForLoad reports whether servers that are too slow for the target would be faster with less load.
// If not, refusing requests does not make the remaining ones faster.
func (ar Arrival) slowForLoad(now time.Duration) bool {
	return now+ar.Unloaded <= ar.Target || ar.Servers >= loadRatio*ar.Unloaded
}

// full returns why a request may not wait; empty if it may.
func (ga *Gate[W]) full(fl *flow[W], ar Arrival) Reason {
	switch {
	case ga.count >= ga.cfg.MaxWaiting || ga.bytes+ar.Bytes > ga.cfg.MaxBytes:
		return ReasonQueueFull
	case float64(len(fl.queue)) >= accountQueueShare*float64(ga.cfg.MaxWaiting):
		return ReasonTeamQueueFull
	}
	return ""
}

// localTime is how long this VM itself takes for a request.
func (ga *Gate[W]) localTime(ar Arrival) time.Duration {
	if rs := ga.route(ar.Route); rs.local > 0 {
		return rs.local + deviations*rs.deviation
	}
	return ga.pace.Delay() + seconds(ar.Cost/ga.pace.Rate())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// wait estimates how long a new request of a flow waits.
func (ga *Gate[W]) wait(fl *flow[W], ar Arrival) time.Duration {
	over := max(0, ga.working()+ar.Cost-ga.pace.Window())
	rate := ga.pace.Rate()
	if !ga.neglected(fl) {
		urgent := 0.0
		for priority, su := range ga.started {
			if priority < ar.Priority {
				urgent += su.Rate(ga.now, shareTime)
			}
		}
		rate = max(rate-urgent, leastRateShare*rate)
	}
	return seconds((ga.costAhead(fl) + over) / rate)
}

// lasting reports whether an overload lasts: requests have waited without interruption for some
// time, the less the more arrives beyond what this VM can do. A backlog alone also forms by chance below the
// capacity, and is gone sooner than new requests would be late.
func (ga *Gate[W]) lasting() bool {
	if ga.count == 0 {
		return false
	}
	// What was done lately can be done, even if the window is small at the moment.
	able := max(ga.pace.Rate(), ga.pace.Work(ga.now))
	backlog, excess := ga.now-ga.backlogSince, ga.demand.Rate(ga.now, demandTime)/able
	return backlog >= lastingAtMost || excess > 1 && float64(backlog)*excess*excess >= float64(lastingAfter)
}

func (ga *Gate[W]) start(fl *flow[W], ar Arrival) {
	ga.inProgress += ar.Cost
	fl.share.Add(ga.now, shareTime, ar.Cost)
	fl.served.Add(ga.now, servedTime, 1)
	ga.served.Add(ga.now, servedTime, 1)
	su, ok := ga.started[ar.Priority]
	if !ok {
		su = &pace.Sum{}
		ga.started[ar.Priority] = su
	}
	su.Add(ga.now, shareTime, ar.Cost)
}

// Withdraw removes a request from the queue. It returns false if the request was granted or
// refused before.
func (ga *Gate[W]) Withdraw(now time.Duration, en *Entry[W]) bool {
	ga.advance(now)
	if !en.queued {
		return false
	}
	ga.dequeue(en)
	return true
}

func (ga *Gate[W]) refuseEntry(re Reason, en *Entry[W]) {
	vd := ga.refuse(re, en.ar, ga.wait(en.fl, en.ar))
	ga.grants = append(ga.grants, Grant[W]{Waiter: en.waiter, Reason: vd.Reason, RetryAfter: vd.RetryAfter})
}

func (ga *Gate[W]) refuse(re Reason, ar Arrival, wait time.Duration) Verdict[W] {
	return Verdict[W]{Kind: Refused, Reason: re, RetryAfter: ga.retryAfter(ar, wait)}
}

func (ga *Gate[W]) advance(now time.Duration) {
	ga.now = max(ga.now, now)
	ga.away.advance(ga.now)
	ga.overdue += ga.due.advance(ga.now)
	if ga.inProgress == 0 {
		ga.overdue = 0 // no rounding errors remain
	}
}
