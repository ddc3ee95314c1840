package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/phuslu/log"

	"laburnumvane/core/fanout"
	"laburnumvane/core/lead"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/ramp"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/accept"
	"laburnumvane/io/guard"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

const (
	// mostHeader and mostBody bound what is read at all, before the limits of
	// the configuration are known.
	mostHeader = 64 << 10
	mostBody   = 8 << 20
	// requestTime and idleTime hold until a configuration is known; bodyTime is
	// given to a body beyond the time of the header.
	requestTime = 5 * time.Second
	idleTime    = 30 * time.Second
	bodyTime    = 5 * time.Second
)

// Relay sends requests to servers.
type Relay interface {
	Send(up *origin.Upstream, rq relay.Request) *relay.Call
	// Allow bounds the requests to a server that are under way at once.
	Allow(up *origin.Upstream, window int)
}

// Homes has other VMs do work for this one.
type Homes interface {
	// Carry has one of them take a request in place of this VM, Join one of them
	// send it to servers of its data centre.
	Carry(ctx context.Context, homes []*origin.Upstream, usual time.Duration, rq *inner.CarryRequest) (rp *inner.CarryReply, addr string, err error)
	Join(ctx context.Context, joiners []*origin.Upstream, usual time.Duration, rq *inner.JoinRequest) (*inner.JoinReply, *origin.Upstream, error)
	// Follow asks a VM for what its answer to Join left out.
	Follow(ctx context.Context, vm *origin.Upstream, token uint64) (*inner.JoinReply, error)
}

// Config sets the listener. All fields are required.
type Config struct {
	Listener net.Listener
	Names    Names
	// DataCentre is where this VM stands.
	DataCentre string
	Clock      func() time.Duration
	View       func() *plan.View
	Relay      Relay
	Steer      *steer.Table
	// Load reads what a server tells of how busy it is.
	Load func(text string) (steer.Load, error)
	// Ramp counts what this VM sends to servers that warm up.
	Ramp *ramp.Gate
	// Homes has other VMs take gathers.
	Homes Homes
	// Poison holds the requests under which servers ended, and Share tells other VMs of one.
	Poison *poison.Table
	Share  func(up poison.Update)
	// Hint tells them at once that servers end under one.
	Hint  func(rd poison.Record)
	Meter *meter.Meter
	Log   *log.Logger
	// Off are the mechanisms that are switched off; it may be empty.
	Off toggle.Set
}

// Entry is the clients' listener.
type Entry struct {
	*guard.Door
	cfg      Config
	pace     pace
	budgets  *budgets
	valves   valves
	lead     *lead.Lead
	leaving  atomic.Bool
	moving   atomic.Bool
	inFlight atomic.Int64
	// carried counts the requests of other VMs among them.
	carried atomic.Int64
	// asked counts the requests that have a route, unserved those that were not
	// served.
	asked, unserved atomic.Int64
	// pending holds what was left out of joined answers to other VMs.
	pending pending
	// turns are taken by arrivals of the same suspect request.
	turns turns
	// farHeard is when a server of another data centre answered last.
	farHeard atomic.Int64
	// farLost counts the attempts lost there since.
	farLost atomic.Int64
	// movingSince is when Move was turned on.
	movingSince atomic.Int64
	// ending ends when no request may go on, and end ends it.
	ending context.Context //nolint:containedctx // it is the listener's own, and no request's
	end    context.CancelFunc
}

// New makes the listener; Serve starts it.
func New(cfg Config) *Entry {
	en := &Entry{cfg: cfg, budgets: newBudgets(), lead: lead.New(lead.Config{})}
	en.ending, en.end = context.WithCancel(context.Background())
	gc := guard.Config{
		MaxBody:    mostBody,
		MaxHeader:  mostHeader,
		Times:      en.times,
		OwnFraming: true,
		Refused:    func(reason string) { cfg.Meter.Count(meter.Refusal, reason) },
		Panicked: func(value any, stack []byte) {
			cfg.Log.Error().Any("value", value).Bytes("stack", stack).Msg("a request's handler panicked")
		},
	}
	en.Door = guard.Open("entry", cfg.Listener, gc,
		server.WithDisableHeaderNamesNormalizing(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
	)
	en.Routes.NoRoute(en.serve)
	en.Routes.NoMethod(en.serve)
	return en
}

// times bound clients as the configuration says.
func (en *Entry) times() guard.Times {
	ti := guard.Times{Request: requestTime, Idle: idleTime}
	tb := en.cfg.View().Routes()
	if tb == nil {
		return ti
	}
	li := tb.Limits()
	if li.RequestTime > 0 {
		ti.Request = li.RequestTime + bodyTime
	}
	if li.IdleTime > 0 {
		ti.Idle = li.IdleTime
	}
	return ti
}

// SetExtra bounds the attempts beyond the first.
func (en *Entry) SetExtra(ex Extra) { en.budgets.set(ex) }

// InFlight is the number of requests under way.
func (en *Entry) InFlight() int { return int(en.inFlight.Load()) }

// Leave makes each answer close its connection.
func (en *Entry) Leave() { en.leaving.Store(true) }

// End has every request answered at once with what there is, as if its time were up, and
// each further one refused: the process ends, and a connection that just ends would not
// tell the client that its request may have run.
func (en *Entry) End() { en.end() }

// Move makes each answer close its connection, or ends that, so that clients
// reach another VM with their next request.
//
// While it is on, requests that need servers of other data centres are refused at
// once: an attempt there hangs until its deadline.
func (en *Entry) Move(on bool) {
	en.movingSince.Store(int64(en.cfg.Clock()))
	en.moving.Store(on)
}

// Traffic is what became of the requests since the start.
type Traffic struct {
	// Asked counts those that have a route, Unserved those that were not served,
	// here or by the VM to which they were passed on.
	Asked, Unserved int64
	// FarHeard is when a server of another data centre answered last.
	FarHeard time.Duration
	// FarLost counts the attempts that were lost there since then.
	FarLost int
}

// Traffic returns what became of the requests since the start.
func (en *Entry) Traffic() Traffic {
	return Traffic{
		Asked:    en.asked.Load(),
		Unserved: en.unserved.Load(),
		FarHeard: time.Duration(en.farHeard.Load()),
		FarLost:  int(en.farLost.Load()),
	}
}

// heardFar notes an answer from another data centre.
func (en *Entry) heardFar(now time.Duration) {
	en.farHeard.Store(int64(now))
	en.farLost.Store(0)
}

func (en *Entry) serve(ctx context.Context, rc *app.RequestContext) {
	defer accept.Begin(ctx)()
	en.inFlight.Add(1)
	defer en.inFlight.Add(-1)
	rq, rf := en.read(rc, en.cfg.Clock())
	rq.away = en.lead.Away(en.trip(ctx))
	if rf == nil {
		rf = en.answer(ctx, rc, rq)
	}
	if rf != nil {
		en.refuse(rc, rq, rf)
	}
	if en.leaving.Load() || en.moving.Load() {
		rc.SetConnectionClose()
	}
}

// trip tells how far a request's client is.
func (en *Entry) trip(ctx context.Context) lead.Trip {
	if en.cfg.Off.Off(toggle.Trips) {
		return lead.Trip{}
	}
	return accept.Trip(ctx)
}

// answer finds a request's route and answers it, or tells why not.
func (en *Entry) answer(ctx context.Context, rc *app.RequestContext, rq *request) *refusal {
	if en.ending.Err() != nil {
		return refuse(consts.StatusServiceUnavailable, declinedLeaving, "this VM ends")
	}
	vw := en.cfg.View()
	tb := vw.Routes()
	if tb == nil {
		return refuse(consts.StatusServiceUnavailable, reasonNoRoutes, "this VM knows no configuration yet")
	}
	rt, ok := tb.Match(rq.host, rq.path)
	if !ok {
		return refuse(consts.StatusNotFound, guard.ReasonNoRoute, "there is no such route")
	}
	if en.suspicion(rq) == poison.Blocked {
		en.block(rq).write(rc)
		return nil
	}
	if en.moving.Load() && (!vw.ServesNear(rt) || !vw.BlindServes(rt) && en.cfg.Ramp.Blind(en.cfg.Clock())) {
		en.cutOff(rq).write(rc)
		return nil
	}
	if rq.suspect {
		if rs := en.meet(ctx, rq, rt, vw); rs != nil {
			rs.write(rc)
			return nil
		}
	} else if homes := vw.Homes(rt); len(homes) > 0 && !en.cfg.Off.Off(toggle.Homes) {
		if rs := en.forward(ctx, homes, rq, rt); rs != nil {
			rs.write(rc)
			return nil
		}
	}
	rs, _ := en.take(ctx, rq, rt, vw)
	rs.write(rc)
	return nil
}

// take takes a request on this VM.
func (en *Entry) take(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) (*response, string) {
	if rq.suspect {
		return en.takeSuspect(ctx, rq, rt, vw)
	}
	return en.run(ctx, rq, rt, vw)
}

// run runs a request unless there is too little room.
func (en *Entry) run(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) (*response, string) {
	en.asked.Add(1)
	va := en.valves.of(rt)
	if !en.cfg.Off.Off(toggle.Valve) && !va.Admit(en.level(vw.Routes(), rt), rand.Float64()) {
		rs := own(consts.StatusServiceUnavailable, reasonNoRoom, "the servers have no room for more")
		rs.comeBack(backSoon)
		en.unserved.Add(1)
		en.logRefused(rq, rs.status, reasonNoRoom)
		return rs, fanout.OutcomeNotRun.String()
	}
	fl := en.launch(rq, rt, vw)
	an := fl.run(ctx)
	fl.conclude()
	va.Note(fl.short && (an.Outcome != fanout.OutcomeServed || an.At > rq.began+rt.Target))
	rs := fl.response(an)
	en.count(an, rq)
	fl.log(an, rs.status)
	return rs, an.Outcome.String()
}

// cutOff refuses a request that this VM cannot serve while it is cut off.
func (en *Entry) cutOff(rq *request) *response {
	en.asked.Add(1)
	en.unserved.Add(1)
	rs := own(consts.StatusServiceUnavailable, reasonCutOff, "this VM reaches too few servers")
	since := en.cfg.Clock() - time.Duration(en.movingSince.Load())
	rs.comeBack(max(backSoon, backMoved-since))
	en.logRefused(rq, rs.status, reasonCutOff)
	return rs
}

func (en *Entry) count(an fanout.Answer, rq *request) {
	if an.Outcome == fanout.OutcomeFailed || an.Outcome == fanout.OutcomeNotRun {
		en.unserved.Add(1)
	}
	en.cfg.Meter.Count(meter.Outcome, an.Outcome.String())
	if an.Reason != "" {
		en.cfg.Meter.Count(meter.Incomplete, an.Reason)
	}
	en.cfg.Meter.Observe(meter.SearchLatency, an.At-rq.began)
}

// refuse answers a request that is not passed on. What could not be read ends
// its connection: where the next request begins is not known.
func (en *Entry) refuse(rc *app.RequestContext, rq *request, rf *refusal) {
	rs := own(rf.status, rf.Reason, rf.Error)
	switch rf.status {
	case consts.StatusServiceUnavailable:
		rs.comeBack(backBoot)
	case consts.StatusNotFound:
	default:
		rc.SetConnectionClose()
	}
	rs.write(rc)
	en.logRefused(rq, rf.status, rf.Reason)
}

func (en *Entry) logRefused(rq *request, status int, reason string) {
	en.cfg.Log.Info().Str("id", rq.id).Str("host", rq.host).Str("path", rq.path).
		Int("status", status).Str("reason", reason).Uint64("version", version(en.cfg.View())).
		Msg("refused")
}

func version(vw *plan.View) uint64 {
	if tb := vw.Routes(); tb != nil {
		return tb.Version()
	}
	return 0
}
