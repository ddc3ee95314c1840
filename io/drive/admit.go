package drive

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"laburnumvane/core/admit"
	"laburnumvane/core/budget"
	"laburnumvane/core/limit"
	"laburnumvane/core/pick"
	"laburnumvane/core/share"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// ReasonCallerGone is the reason of a search whose caller disconnected while it was queued.
const ReasonCallerGone = "callerGone"

// queueWait is the metric name of the time from arrival to admission.
const queueWait = "latency.queueMs"

// The VM's budget of extra work (hedges and retries) for all searches.
const (
	extraShare = 0.1
	extraBurst = 100
)

// The VM's budget of moves: sub-requests to a further server for a shard, whatever the result of
// the one before. A search's own budgets don't limit moves after a refusal that cost nothing, so
// if every server refused, each search would send as many messages as there are replicas. One move
// for each primary suffices to find the last of three replicas if the other two are leaving.
const (
	moveShare = 1
	moveBurst = 1000
)

// minUpdateInterval is the minimum interval at which views without new servers are searched for
// leaving servers.
const minUpdateInterval = 50 * time.Millisecond

// admission decides which searches may start, and counts their sub-requests against each server's
// limit.
type admission struct {
	dr     *Driver
	limits *limit.Table
	extra  *budget.Budget
	moves  *budget.Budget
	// lastView is the view that limits was last updated from, nextUpdate the earliest time of
	// the next update.
	lastView   atomic.Pointer[view.View]
	nextUpdate atomic.Int64
	updateMu   sync.Mutex
	queues     sync.Map // *admissionQueue by limit.PoolKey
	teams      sync.Map // admit.TeamID by team name
	nextID     atomic.Uint32
	// admitted counts admitted searches by class, and waited records their time in the queue.
	// Both are looked up once.
	admitted [admit.Classes]metrics.Counter
	waited   metrics.Histogram
}

func newAdmission(dr *Driver) *admission {
	ad := &admission{
		dr:     dr,
		limits: limit.New(limit.Config{}),
		extra:  budget.New(budget.Config{Share: extraShare, Burst: extraBurst}),
		moves:  budget.New(budget.Config{Share: moveShare, Burst: moveBurst}),
		waited: dr.cfg.Meter.Histogram(queueWait),
	}
	for _, tc := range team.Classes() {
		ad.admitted[admit.ClassOf(tc)] = dr.cfg.Meter.Counter(meter.Admitted, string(tc))
	}
	return ad
}

// Waiting returns the number of queued searches of all registers.
func (dr *Driver) Waiting() int {
	n := 0
	dr.admission.queues.Range(func(_, aq any) bool {
		n += int(aq.(*admissionQueue).waiting.Load())
		return true
	})
	return n
}

// ServerLimit returns the adaptive limit of this VM's sub-requests in flight on a server, or 0 if
// no search has used the server yet.
func (dr *Driver) ServerLimit(id view.ServerID) float64 {
	if int(id) >= dr.admission.limits.Len() {
		return 0
	}
	return dr.admission.limits.Limit(id)
}

// admittedSearch is a search that was admitted.
type admittedSearch struct {
	ad        *admission
	queue     *admissionQueue
	bucket    *share.Bucket
	class     admit.Class
	startedAt time.Duration
	// waited is the time in the queue, which counts towards the caller's deadline.
	waited    time.Duration
	confirmed bool
	// unlimited is set if limits are off.
	unlimited bool
}

// admit admits a search, if necessary after a wait in the queue, or refuses it. Nothing was sent
// for a refused search, so notRun is the correct outcome.
func (ad *admission) admit(ctx context.Context, vw *view.View, rq wire.SearchRequest, conf team.Search, cost int) (*admittedSearch, *wire.SearchAnswer) {
	now := ad.dr.now()
	ad.updateServers(now, vw)
	as := &admittedSearch{
		ad:        ad,
		queue:     ad.queueOf(limit.PoolKey{Team: rq.Team, Register: conf.Register}),
		bucket:    ad.bucket(rq.Team),
		class:     admit.ClassOf(conf.Class),
		startedAt: now,
	}
	if ad.dr.cfg.Unlimited {
		as.unlimited = true
		return as, nil
	}
	if as.bucket != nil {
		if re, after := as.bucket.Take(now); re != "" {
			return nil, ad.refuse(string(re), after)
		}
	}
	ar := admit.Request{
		Class:    as.class,
		Team:     ad.team(rq.Team),
		Cost:     int32(max(1, cost)),
		Deadline: now + ad.dr.timeLimitOf(rq, conf),
	}
	vd := as.queue.offer(ctx, ad.dr, ar)
	if !vd.start {
		if as.bucket != nil {
			as.bucket.Refund()
		}
		return nil, ad.refuse(vd.reason, vd.retryAfter)
	}
	as.waited = ad.dr.now() - now
	as.startedAt += as.waited
	ad.admitted[as.class].Inc(1)
	ad.waited.Update(as.waited.Microseconds())
	return as, nil
}

func (ad *admission) refuse(reason string, after time.Duration) *wire.SearchAnswer {
	an := ad.dr.refuse(reason, "refused before anything was sent: "+reason)
	an.RetryAfterMs = max(1, after.Milliseconds())
	return &an
}

// confirmStart confirms that the first sub-requests are counted in the limits.
func (as *admittedSearch) confirmStart() {
	if as.unlimited {
		return
	}
	as.confirmed = true
	as.queue.update(as.ad.dr, func(mc *machine) { mc.ConfirmStart() })
}

// finish ends the search. NoWorker is set if sub-requests were not sent for lack of workers.
func (as *admittedSearch) finish(noWorker bool) {
	if as.unlimited {
		return
	}
	now := as.ad.dr.now()
	as.queue.update(as.ad.dr, func(mc *machine) {
		if !as.confirmed {
			mc.ConfirmStart()
		}
		mc.Done(now, as.class, now-as.startedAt, noWorker)
	})
	if as.bucket != nil {
		as.bucket.Release()
	}
}

// beginSubRequest counts a sub-request against its server's limit.
func (as *admittedSearch) beginSubRequest(id view.ServerID) {
	if int(id) >= as.ad.limits.Len() {
		// The search has started over on a newer view.
		as.ad.updateServers(as.ad.dr.now(), as.ad.dr.cfg.View())
	}
	as.ad.limits.Begin(as.ad.dr.now(), id)
}

// endSubRequest records a sub-request's result, and admits queued searches that now have capacity.
func (as *admittedSearch) endSubRequest(id view.ServerID, sa limit.Sample) {
	as.ad.limits.End(as.ad.dr.now(), id, sa)
	if as.queue.waiting.Load() > 0 {
		as.queue.update(as.ad.dr, func(*machine) {})
	}
}

// updateServers adds new servers to the limits, and excludes leaving servers from their group's
// limit.
func (ad *admission) updateServers(now time.Duration, vw *view.View) {
	// Only the table's length shows which servers it has: another search may be adding the servers
	// of the same view at the moment.
	seen := ad.lastView.Load() == vw || int64(now) < ad.nextUpdate.Load()
	if seen && ad.limits.Len() >= vw.Len() {
		return
	}
	ad.updateMu.Lock()
	defer ad.updateMu.Unlock()
	ad.lastView.Store(vw)
	ad.nextUpdate.Store(int64(now + minUpdateInterval))
	for i := range vw.Len() {
		id := view.ServerID(i)
		sv := vw.ServerRef(id)
		if i >= ad.limits.Len() {
			ad.limits.Add(id, limit.GroupKey{Team: sv.Team, Register: sv.Register, Service: sv.Service})
		}
		ad.limits.SetExcluded(id, sv.State.Leaving())
	}
}

func (ad *admission) queueOf(key limit.PoolKey) *admissionQueue {
	if aq, ok := ad.queues.Load(key); ok {
		return aq.(*admissionQueue)
	}
	pl := ad.limits.Pool(key)
	aq, _ := ad.queues.LoadOrStore(key, &admissionQueue{machine: admit.New[*waiter](admit.Config{HasCapacity: pl.HasCapacity})})
	return aq.(*admissionQueue)
}

func (ad *admission) bucket(name string) *share.Bucket {
	if ad.dr.cfg.Bucket == nil {
		return nil
	}
	return ad.dr.cfg.Bucket(name)
}

// team returns a team's number, and assigns one if the team is new.
func (ad *admission) team(name string) admit.TeamID {
	if id, ok := ad.teams.Load(name); ok {
		return id.(admit.TeamID)
	}
	id, _ := ad.teams.LoadOrStore(name, admit.TeamID(ad.nextID.Add(1)))
	return id.(admit.TeamID)
}

// limitSample returns what a sub-request's result means for the server's limit. A cancelled
// sub-request still shows how long the server had it; one that was not sent shows nothing.
func (at *attempt) limitSample(result pick.Result, rp wire.ShardReply, latency time.Duration) limit.Sample {
	if result == pick.NoResult && !at.cancelled.Load() {
		latency = 0
	}
	kinds := [...]limit.Kind{
		pick.NoResult: limit.Neutral,
		pick.Replied:  limit.Replied,
		pick.Refused:  limit.Shed,
		pick.Failed:   limit.Failed,
	}
	return limit.Sample{
		Kind:    kinds[result],
		Latency: latency,
		Running: rp.Load.InFlight,
		Queued:  rp.Load.Queued,
	}
}
