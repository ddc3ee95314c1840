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

	"laburnumvane/core/acct"
	"laburnumvane/core/boot"
	"laburnumvane/core/fanout"
	"laburnumvane/core/gauge"
	"laburnumvane/core/lead"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/core/warmup"
	"laburnumvane/io/accept"
	"laburnumvane/io/guard"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

const (
	// maxHeaderBytes and maxBodyBytes bound what is read at all, before the limits of the
	// configuration are known.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
	// defaultRequestTimeout and defaultIdleTimeout apply until a configuration is known.
	// extraBodyTimeout is the time that a request gets for its body, beyond the configured time
	// for its headers.
	defaultRequestTimeout = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	extraBodyTimeout      = 5 * time.Second
)

// Relay sends requests to servers; relay.Pool implements it.
type Relay interface {
	Send(up *origin.Upstream, rq relay.Request) *relay.Call
	// SetWindow limits the number of concurrent requests to a server.
	SetWindow(up *origin.Upstream, window int)
}

// HomeClient calls the inner.Home service of other VMs; remote.Client implements it.
type HomeClient interface {
	// Carry forwards a request to one of the VMs, which runs it in place of this VM. Join has
	// one of the VMs send a request to servers of its own data centre.
	Carry(ctx context.Context, targets []*origin.Upstream, usual, own time.Duration, rq *inner.CarryRequest) (rp *inner.CarryReply, addr string, err error)
	Join(ctx context.Context, vms []*origin.Upstream, usual time.Duration, rq *inner.JoinRequest) (*inner.JoinReply, *origin.Upstream, error)
	// Follow asks a VM for the results that its reply to Join left out.
	Follow(ctx context.Context, vm *origin.Upstream, token uint64) (*inner.JoinReply, error)
	// Allow asks the VM with an inner address for permission to run requests of an account.
	Allow(addr string, rq *inner.AllowRequest) (*inner.AllowReply, error)
}

// Config configures the listener. All fields are required.
type Config struct {
	Listener net.Listener
	Names    HeaderNames
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Capacity is the processor time of this VM in cores.
	Capacity float64
	Clock    func() time.Duration
	View     func() *plan.View
	// Configured is closed once View has a configuration.
	Configured <-chan struct{}
	Relay      Relay
	Steer      *steer.Table
	// Load parses a server's load report.
	Load func(text string) (steer.Load, error)
	// WarmUp limits the requests of this VM to servers that are warming up.
	WarmUp *warmup.Limiter
	// HomeClient forwards requests to other VMs.
	HomeClient HomeClient
	// Gauge measures how busy this VM is.
	Gauge *gauge.Gauge
	// Poison holds the requests under which servers crashed, and SharePoison distributes an
	// update of one to other VMs through the store.
	Poison      *poison.Table
	SharePoison func(up poison.Update)
	// SendHint notifies other VMs directly that servers crash under a request.
	SendHint func(rd poison.Record)
	Meter    *meter.Meter
	Log      *log.Logger
	// CopyAge returns the age of this VM's copy of the store as far as View shows it, and Keys says for how long keys of
	// client accounts are accepted on its basis.
	CopyAge func() time.Duration
	Keys    acct.Policy
	// Off lists the mechanisms that are switched off; it may be empty.
	Off toggle.Set
	// Quota bounds the deviation from the limits of accounts. DataCentres is the number of data
	// centres in the settings of this VM.
	Quota       acct.Bounds
	DataCentres int
}

// Entry is the clients' listener and the handler of their requests.
type Entry struct {
	*guard.Server
	cfg     Config
	latency latencies
	budgets *budgets
	valves  valves
	limits  *accountLimits
	// admission replaces valves if the configuration has accounts.
	admission *admission
	// boot holds the requests that arrive before the first configuration.
	boot     *boot.Hold
	lead     *lead.Lead
	leaving  atomic.Bool
	moving   atomic.Bool
	inFlight atomic.Int64
	// forwarded counts those of inFlight that other VMs forwarded.
	forwarded atomic.Int64
	// routed counts the requests that matched a route, unserved those of them that were not
	// served.
	routed, unserved atomic.Int64
	// pending holds joins for other VMs whose first reply left out results.
	pending pending
	// turns serialises concurrent arrivals of the same suspect request.
	turns turns
	// remoteAnsweredAt is when a server of another data centre last responded.
	remoteAnsweredAt atomic.Int64
	// remoteLost counts the attempts lost in other data centres since then.
	remoteLost atomic.Int64
	// cutOffSince is when SetCutOff was last called.
	cutOffSince atomic.Int64
	// ending is cancelled when all requests must end; end cancels it.
	ending context.Context //nolint:containedctx // it is the listener's own, and no request's
	end    context.CancelFunc
}

// New creates the listener. Serve starts it.
func New(cfg Config) *Entry {
	en := &Entry{
		cfg: cfg, budgets: newBudgets(), lead: lead.New(lead.Config{Capacity: cfg.Capacity}),
		limits: newAccountLimits(cfg.Quota, cfg.DataCentres), admission: newAdmission(),
		boot: boot.New(boot.Config{Started: cfg.Clock()}),
	}
	en.ending, en.end = context.WithCancel(context.Background())
	gc := guard.Config{
		MaxBody:              maxBodyBytes,
		MaxHeader:            maxHeaderBytes,
		Times:                en.timeouts,
		HandlersCheckFraming: true,
		Refused:              func(reason string) { cfg.Meter.Count(meter.Refusal, reason) },
		Panicked: func(value any, stack []byte) {
			cfg.Log.Error().Any("value", value).Bytes("stack", stack).Msg("panic in the request handler")
		},
	}
	en.Server = guard.NewServer("entry", cfg.Listener, gc,
		server.WithDisableHeaderNamesNormalizing(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
	)
	en.Routes.NoRoute(en.serve)
	en.Routes.NoMethod(en.serve)
	return en
}

// timeouts returns the time limits for clients from the configuration, or the defaults.
func (en *Entry) timeouts() guard.Times {
	ti := guard.Times{Request: defaultRequestTimeout, Idle: defaultIdleTimeout}
	tb := en.cfg.View().Routes()
	if tb == nil {
		return ti
	}
	li := tb.Limits()
	if li.HeaderTimeout > 0 {
		ti.Request = li.HeaderTimeout + extraBodyTimeout
	}
	if li.IdleTimeout > 0 {
		ti.Idle = li.IdleTimeout
	}
	return ti
}

// SetExtra sets the limits on attempts beyond the first.
func (en *Entry) SetExtra(ex ExtraAttempts) { en.budgets.set(ex) }

// InFlight returns the number of requests that are being handled.
func (en *Entry) InFlight() int { return int(en.inFlight.Load()) }

// Leave makes every response from now on close its connection.
func (en *Entry) Leave() { en.leaving.Store(true) }

// EndRequests answers every request at once with the results that exist, as if its deadline had
// passed, and refuses each new one. It is called shortly before the process exits: a connection
// that merely closes would not tell the client that its request may have run.
func (en *Entry) EndRequests() { en.end() }

// SetCutOff sets whether this VM is cut off from other data centres. While it is, each response
// closes its connection, so that clients reach another VM with their next request, and requests
// that need servers of other data centres are refused at once: an attempt there would hang
// until its deadline.
func (en *Entry) SetCutOff(on bool) {
	en.cutOffSince.Store(int64(en.cfg.Clock()))
	en.moving.Store(on)
}

func (en *Entry) serve(ctx context.Context, rc *app.RequestContext) {
	defer accept.BeginRequest(ctx)()
	en.inFlight.Add(1)
	defer en.inFlight.Add(-1)
	rq, rf := en.read(rc, en.cfg.Clock())
	rq.transitTime = en.lead.TransitTime(en.clientPath(ctx))
	if rf == nil {
		rf = en.route(ctx, rc, rq)
	}
	if rf != nil {
		en.refuse(rc, rq, rf)
	}
	if en.leaving.Load() || en.moving.Load() {
		rc.SetConnectionClose()
	}
}

// clientPath returns what is known of the network path to the client.
func (en *Entry) clientPath(ctx context.Context) lead.Path {
	if en.cfg.Off.Off(toggle.Trips) {
		return lead.Path{}
	}
	return accept.ClientPath(ctx)
}

// route finds the route of a request and writes the response. If it returns a refusal, nothing
// has been written.
func (en *Entry) route(ctx context.Context, rc *app.RequestContext, rq *request) *refusal {
	if en.ending.Err() != nil {
		return refuse(consts.StatusServiceUnavailable, declinedLeaving, "this VM ends")
	}
	if rf := en.awaitConfiguration(ctx, rq); rf != nil {
		return rf
	}
	rq.copyAge = en.cfg.CopyAge()
	vw := en.cfg.View()
	tb := vw.Routes()
	rt, ok := tb.Match(rq.host, rq.path)
	if !ok {
		return refuse(consts.StatusNotFound, guard.ReasonNoRoute, "there is no such route")
	}
	if rs := en.authenticate(tb, rt, rq); rs != nil {
		rs.write(rc)
		return nil
	}
	if en.checkPoison(rq) == poison.Blocked {
		en.refuseBlocked(rq).write(rc)
		return nil
	}
	if en.moving.Load() && (!vw.LocalServersSufficeFor(rt) || !vw.ServesWithStaleState(rt) && en.cfg.WarmUp.Stale(en.cfg.Clock())) {
		en.refuseCutOff(rq).write(rc)
		return nil
	}
	if rq.suspect {
		if rs := en.forwardToOwner(ctx, rq, rt, vw); rs != nil {
			rs.write(rc)
			return nil
		}
	} else if targets := vw.ForwardTargets(rt); len(targets) > 0 && !en.cfg.Off.Off(toggle.Homes) {
		if rs := en.forward(ctx, targets, rq, rt); rs != nil {
			rs.write(rc)
			return nil
		}
	}
	rs, _ := en.handle(ctx, rq, rt, vw)
	rs.write(rc)
	return nil
}

// handle runs a request on this VM; a suspect request waits for its turn first.
func (en *Entry) handle(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) (*response, string) {
	if rq.suspect {
		return en.handleSuspect(ctx, rq, rt, vw)
	}
	return en.run(ctx, rq, rt, vw)
}

// run runs a request unless its account is above its limit, or it is refused for lack of capacity:
// by the admission if the configuration has accounts, or else by the route's valve.
func (en *Entry) run(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) (rs *response, outcome string) {
	en.routed.Add(1)
	defer en.cfg.Gauge.Begin()()
	if rs := en.takeToken(ctx, rq, vw); rs != nil {
		return rs, fanout.OutcomeNotRun.String()
	}
	// Also after a panic: a token must not count as in use for ever.
	defer func() { en.returnToken(rq, outcome) }()
	return en.send(ctx, rq, rt, vw)
}

// send sends a request to servers unless it is refused for lack of capacity.
func (en *Entry) send(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) (*response, string) {
	if en.usesAdmission(vw) {
		fl := en.newFlight(rq, rt, vw)
		if rs := en.admit(ctx, fl); rs != nil {
			return rs, fanout.OutcomeNotRun.String()
		}
		defer fl.endAdmission()
		return en.execute(ctx, fl)
	}
	va := en.valves.forRoute(rt)
	va.Advance(en.cfg.Clock())
	if !en.cfg.Off.Off(toggle.Valve) && !va.Admit(en.admitLevel(vw.Routes(), rq.priority(rt)), rand.Float64()) {
		rs := refusalResponse(consts.StatusServiceUnavailable, reasonNoRoom, "the servers have no room for more")
		rs.setRetryAfter(retryAfterBusy)
		en.unserved.Add(1)
		en.logRefused(rq, rs.status, reasonNoRoom)
		return rs, fanout.OutcomeNotRun.String()
	}
	fl := en.newFlight(rq, rt, vw)
	rs, outcome := en.execute(ctx, fl)
	if fl.late && fl.lacked {
		va.RecordShort(en.cfg.Clock(), fl.lackedAt)
	} else {
		va.Record(false)
	}
	return rs, outcome
}
