package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/route"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/remote"
)

// Reasons for which a VM declines a request that another VM forwards.
const (
	declinedLeaving = remote.ReasonLeaving
	declinedBusy    = "busy"
	declinedRoute   = "noSuchRoute"
	declinedProbe   = "alive"
	// reasonHomeLost: the VM to which the request was forwarded did not respond.
	reasonHomeLost = "homeLost"
)

const (
	// maxForwardedInFlight limits the concurrent requests of other VMs: with more, all of them
	// would wait for the processor.
	maxForwardedInFlight = 256
	// homeLatencyPrefix separates the latency statistics of gathers on other VMs from those of
	// requests to single servers.
	homeLatencyPrefix = "home "
	// loadUnit is the load of a VM at its capacity in a reply, which has 1 added to it.
	loadUnit = 1000
)

// forward sends a request to a VM that is better placed to run it. It returns nil if none of
// the VMs started it, so that this VM has to run it.
func (en *Entry) forward(ctx context.Context, targets []*origin.Upstream, rq *request, rt *route.Route) *response {
	la := en.latency.forRoute(&route.Route{Name: homeLatencyPrefix + rt.Name, Target: rt.Target})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(en.ending, cancel)()
	began := en.cfg.Clock()
	rp, addr, err := en.cfg.HomeClient.Carry(ctx, targets, la.usualLatency(), en.ownTime(rq, la), en.carryRequest(rq, rt, began))
	now := en.cfg.Clock()
	if err != nil && !remote.MayHaveRun(err) {
		reason := "homeNone"
		if remote.IsSooner(err) {
			reason = "homeSelf"
		}
		en.cfg.Meter.Count(meter.Sent, reason)
		return nil
	}
	line := rq.logAccount(en.cfg.Log.Info().Str("id", rq.id)).Str("route", rt.Name).Str("home", addr).
		Float64("ms", float64((now-rq.began).Microseconds())/1000)
	en.routed.Add(1)
	if err != nil || rp.GetStatus() >= consts.StatusInternalServerError {
		en.unserved.Add(1)
	}
	if err != nil {
		en.cfg.Meter.Count(meter.Sent, "homeLost")
		line.Int("status", consts.StatusBadGateway).Err(err).Msg("forwarded; the other VM did not respond")
		return refusalResponse(consts.StatusBadGateway, reasonHomeLost, "the request may have run")
	}
	la.observe(now - began)
	en.cfg.Meter.Count(meter.Sent, "home")
	line.Int("status", int(rp.GetStatus())).Str("outcome", rp.GetOutcome()).Msg("forwarded")
	rs := &response{status: int(rp.GetStatus()), body: rp.GetBody()}
	for _, fi := range rp.GetFields() {
		rs.add(fi.GetName(), fi.GetValue())
	}
	return rs
}

func (en *Entry) carryRequest(rq *request, rt *route.Route, now time.Duration) *inner.CarryRequest {
	spent := now - rq.began
	cr := &inner.CarryRequest{
		Version: inner.Version,
		Id:      rq.id,
		Method:  rq.method,
		Uri:     rq.uri,
		Host:    rq.host,
		Body:    rq.body,
		Framed:  rq.framed,
		SpentUs: uint64(spent.Microseconds()),
		Route:   rt.Digest(),
		Suspect: rq.suspect,
		Account: rq.accountName(),
		// The response passes through this VM too.
		AwayUs: uint64((rq.transitTime + en.lead.LocalTime()).Microseconds()),
	}
	if rq.account != nil {
		cr.KeyDigest = uint64(rq.keyDigest)
	}
	if rq.timeout > 0 {
		cr.LeftUs = uint64(max(1, (rq.timeout - spent).Microseconds()))
	}
	for _, fi := range rq.fields {
		cr.Fields = append(cr.Fields, &inner.Field{Name: fi.name, Value: fi.value})
	}
	return cr
}

// Carry implements inner.Home: it runs a request that another VM forwards. A request without an
// id only checks that this VM is alive.
func (en *Entry) Carry(ctx context.Context, cr *inner.CarryRequest) (*inner.CarryReply, error) {
	if cr.GetId() == "" {
		return declined(declinedProbe), nil
	}
	if en.leaving.Load() {
		en.cfg.Meter.Count(meter.Sent, declinedLeaving)
		return declined(declinedLeaving), nil
	}
	en.inFlight.Add(1)
	defer en.inFlight.Add(-1)
	if en.forwarded.Add(1) > maxForwardedInFlight {
		en.forwarded.Add(-1)
		return declined(declinedBusy), nil
	}
	defer en.forwarded.Add(-1)
	rq := en.forwardedRequest(cr, en.cfg.Clock(), microseconds(cr.GetWaitedUs()))
	vw := en.cfg.View()
	rt, reason := en.matchForwarded(vw, rq, cr)
	if reason != "" {
		en.noteDeclined(rq, reason)
		return declined(reason), nil
	}
	if reason, rs := en.authenticateForwarded(vw.Routes(), rt, rq, cr); rs != nil {
		return rs.carryReply(fanout.OutcomeNotRun.String())
	} else if reason != "" {
		en.noteDeclined(rq, reason)
		return declined(reason), nil
	}
	if cr.GetSuspect() {
		en.ReceiveHint(poison.Record{Fingerprint: rq.fingerprint()})
	}
	if en.checkPoison(rq) == poison.Blocked {
		return en.refuseBlocked(rq).carryReply(fanout.OutcomeNotRun.String())
	}
	if !rt.Idempotent && !rq.suspect {
		return declined(declinedRoute), nil
	}
	rs, outcome := en.handle(ctx, rq, rt, vw)
	rp, err := rs.carryReply(outcome)
	en.reportLoad(rp)
	return rp, err
}

// matchForwarded finds the route of a request that another VM forwarded, or returns the reason
// to decline it. The route must be the same on both VMs: they apply a new configuration at
// different times, and otherwise servers and clients could see the new route and then the old
// one through the same VM, as if the configuration had been rolled back.
func (en *Entry) matchForwarded(vw *plan.View, rq *request, cr *inner.CarryRequest) (*route.Route, string) {
	if vw.Routes() == nil {
		return nil, reasonNoRoutes
	}
	rt, ok := vw.Routes().Match(rq.host, rq.path)
	switch {
	case !ok:
		return nil, declinedRoute
	case cr.GetRoute() != 0 && cr.GetRoute() != rt.Digest():
		return nil, remote.ReasonOtherRoute
	}
	return rt, ""
}

// noteDeclined counts and logs a request that was declined.
func (en *Entry) noteDeclined(rq *request, reason string) {
	if reason == remote.ReasonOtherRoute {
		en.cfg.Meter.Count(meter.Sent, reason)
	}
	en.cfg.Log.Info().Str("id", rq.id).Str("reason", reason).Uint64("version", configVersion(en.cfg.View())).
		Msg("declined another VM's request")
}

// ownTime returns how long a request would take on this VM, given the latency of those that large
// VMs run. It is 0 if that is not known, and for a suspect request, which only its owner may try
// while it can be reached.
func (en *Entry) ownTime(rq *request, la *routeLatency) time.Duration {
	rp := en.cfg.Gauge.Report()
	if rp.OwnWork == 0 || rq.suspect {
		return 0
	}
	return la.usualLatency() + rp.Wait + rp.OwnWork*time.Duration(1+rp.Running)
}

// reportLoad tells the calling VM how busy this VM is.
func (en *Entry) reportLoad(rp *inner.CarryReply) {
	if state := en.cfg.Gauge.Report(); rp != nil && state.OwnWork > 0 {
		rp.Load = uint32(max(0, state.Load)*loadUnit) + 1
		rp.WaitUs = uint64(state.Wait.Microseconds())
	}
}

func declined(reason string) *inner.CarryReply {
	return &inner.CarryReply{Declined: true, Reason: reason}
}
