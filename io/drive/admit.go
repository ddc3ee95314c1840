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

// ReasonGone is the reason of a search whose caller went away while it waited.
const ReasonGone = "callerGone"

// queueWait is the meter of the time from arrival to being let in.
const queueWait = "latency.queueMs"

// The VM's budget of extra work over all kinds of searches.
const (
	spareShare = 0.1
	spareBurst = 100
)

// The VM's budget of moves: sub-requests that go to a further server for a shard,
// whatever became of the one before. Of those after a refusal that cost nothing
// no search's own budget is asked, and where every server refuses, each search
// would turn into as many messages as there are replicas. One for each primary
// is enough to find the last replica of three that has not left.
const (
	moveShare = 1
	moveBurst = 1000
)

// placeEvery bounds how often a view that brings no new server is looked
// through for servers that leave.
const placeEvery = 50 * time.Millisecond

// admission decides which searches may start, and counts their sub-requests
// against what each server may take.
type admission struct {
	dr     *Driver
	limits *limit.Table
	spare  *budget.Budget
	moves  *budget.Budget
	// placed is the view whose servers limits knows, placeAt the earliest time
	// for the next.
	placed  atomic.Pointer[view.View]
	placeAt atomic.Int64
	placing sync.Mutex
	doors   sync.Map // limit.PoolKey to *door
	teams   sync.Map // team's name to admit.TeamID
	nextID  atomic.Uint32
	// admitted is by class; it and waited are looked up once.
	admitted [admit.Classes]metrics.Counter
	waited   metrics.Histogram
}

func newAdmission(dr *Driver) *admission {
	ad := &admission{
		dr:     dr,
		limits: limit.New(limit.Config{}),
		spare:  budget.New(budget.Config{Share: spareShare, Burst: spareBurst}),
		moves:  budget.New(budget.Config{Share: moveShare, Burst: moveBurst}),
		waited: dr.cfg.Meter.Histogram(queueWait),
	}
	for _, tc := range team.Classes() {
		ad.admitted[admit.ClassOf(tc)] = dr.cfg.Meter.Counter(meter.Admitted, string(tc))
	}
	return ad
}

// Waiting is the number of searches in the queues of all registers.
func (dr *Driver) Waiting() int {
	n := 0
	dr.admission.doors.Range(func(_, do any) bool {
		n += int(do.(*door).waiting.Load())
		return true
	})
	return n
}

// ServerLimit is how many sub-requests this VM may have in flight on a server,
// by what replies showed; 0 if no search has met it yet.
func (dr *Driver) ServerLimit(id view.ServerID) float64 {
	if int(id) >= dr.admission.limits.Len() {
		return 0
	}
	return dr.admission.limits.Limit(id)
}

// pass is a search that was let in.
type pass struct {
	ad     *admission
	do     *door
	bucket *share.Bucket
	class  admit.Class
	at     time.Duration
	// waited is the time in the queue; it is part of the caller's deadline.
	waited time.Duration
	begun  bool
	// free is set where limits are off.
	free bool
}

// enter lets a search in, after a wait where need be, or refuses it. Nothing
// has been sent for it, so a refusal's notRun is the truth.
func (ad *admission) enter(ctx context.Context, vw *view.View, rq wire.SearchRequest, conf team.Search, cost int) (*pass, *wire.SearchAnswer) {
	now := ad.dr.now()
	ad.place(now, vw)
	ps := &pass{
		ad:     ad,
		do:     ad.door(limit.PoolKey{Team: rq.Team, Register: conf.Register}),
		bucket: ad.bucket(rq.Team),
		class:  admit.ClassOf(conf.Class),
		at:     now,
	}
	if ad.dr.cfg.Unlimited {
		ps.free = true
		return ps, nil
	}
	if ps.bucket != nil {
		if re, after := ps.bucket.Take(now); re != "" {
			return nil, ad.refuse(string(re), after)
		}
	}
	ar := admit.Request{
		Class:    ps.class,
		Team:     ad.team(rq.Team),
		Cost:     int32(max(1, cost)),
		Deadline: now + ad.dr.budgetOf(rq, conf),
	}
	vd := ps.do.offer(ctx, ad.dr, ar)
	if !vd.start {
		if ps.bucket != nil {
			ps.bucket.GiveBack()
		}
		return nil, ad.refuse(vd.reason, vd.after)
	}
	ps.waited = ad.dr.now() - now
	ps.at += ps.waited
	ad.admitted[ps.class].Inc(1)
	ad.waited.Update(ps.waited.Microseconds())
	return ps, nil
}

func (ad *admission) refuse(reason string, after time.Duration) *wire.SearchAnswer {
	an := ad.dr.refuse(reason, "refused before anything was sent: "+reason)
	an.RetryAfterMs = max(1, after.Milliseconds())
	return &an
}

// start tells that the first sub-requests are counted in the limits.
func (ps *pass) start() {
	if ps.free {
		return
	}
	ps.begun = true
	ps.do.with(ps.ad.dr, func(mc *machine) { mc.Begun() })
}

// leave ends the search.
func (ps *pass) leave(behind bool) {
	if ps.free {
		return
	}
	now := ps.ad.dr.now()
	ps.do.with(ps.ad.dr, func(mc *machine) {
		if !ps.begun {
			mc.Begun()
		}
		mc.Done(now, ps.class, now-ps.at, behind)
	})
	if ps.bucket != nil {
		ps.bucket.Give()
	}
}

// begin counts a sub-request against its server's limit.
func (ps *pass) begin(id view.ServerID) {
	if int(id) >= ps.ad.limits.Len() {
		// A search that started over on a newer view.
		ps.ad.place(ps.ad.dr.now(), ps.ad.dr.cfg.View())
	}
	ps.ad.limits.Begin(ps.ad.dr.now(), id)
}

// end settles a sub-request, and lets in who waited for its room.
func (ps *pass) end(id view.ServerID, sa limit.Sample) {
	ps.ad.limits.End(ps.ad.dr.now(), id, sa)
	if ps.do.waiting.Load() > 0 {
		ps.do.with(ps.ad.dr, func(*machine) {})
	}
}

// place puts new servers into the limits, and takes those that leave out of the
// sum of their group.
func (ad *admission) place(now time.Duration, vw *view.View) {
	// Only the table's own length tells that a server is there: another search
	// may be about to place the servers of the very same view.
	seen := ad.placed.Load() == vw || int64(now) < ad.placeAt.Load()
	if seen && ad.limits.Len() >= vw.Len() {
		return
	}
	ad.placing.Lock()
	defer ad.placing.Unlock()
	ad.placed.Store(vw)
	ad.placeAt.Store(int64(now + placeEvery))
	for i := range vw.Len() {
		id := view.ServerID(i)
		sv := vw.ServerRef(id)
		if i >= ad.limits.Len() {
			ad.limits.Place(id, limit.GroupKey{Team: sv.Team, Register: sv.Register, Service: sv.Service})
		}
		ad.limits.SetOut(id, sv.State.Leaving())
	}
}

func (ad *admission) door(key limit.PoolKey) *door {
	if do, ok := ad.doors.Load(key); ok {
		return do.(*door)
	}
	pl := ad.limits.Pool(key)
	do, _ := ad.doors.LoadOrStore(key, &door{machine: admit.New[*waiter](admit.Config{Room: pl.Room})})
	return do.(*door)
}

func (ad *admission) bucket(name string) *share.Bucket {
	if ad.dr.cfg.Bucket == nil {
		return nil
	}
	return ad.dr.cfg.Bucket(name)
}

// team gives each team a small number.
func (ad *admission) team(name string) admit.TeamID {
	if id, ok := ad.teams.Load(name); ok {
		return id.(admit.TeamID)
	}
	id, _ := ad.teams.LoadOrStore(name, admit.TeamID(ad.nextID.Add(1)))
	return id.(admit.TeamID)
}

// sampleOf is what the end of a sub-request tells the limits. One that was given
// up tells how long the server had had it; one that never left tells nothing.
func (at *attempt) sampleOf(result pick.Result, rp wire.ShardReply, took time.Duration) limit.Sample {
	if result == pick.Nothing && !at.cancelled.Load() {
		took = 0
	}
	kinds := [...]limit.Kind{
		pick.Nothing: limit.Neutral,
		pick.Replied: limit.Replied,
		pick.Refused: limit.Shed,
		pick.Failed:  limit.Failed,
	}
	return limit.Sample{
		Kind:    kinds[result],
		Latency: took,
		Running: rp.Load.InFlight,
		Queued:  rp.Load.Queued,
	}
}
