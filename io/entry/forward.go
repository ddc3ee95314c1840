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
	"laburnumvane/io/carry"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

// Reasons for which a VM declines a request of another one.
const (
	declinedLeaving = "leaving"
	declinedBusy    = "busy"
	declinedRoute   = "noSuchRoute"
	declinedProbe   = "alive"
	// reasonHomeLost: the VM that took the request gave no answer.
	reasonHomeLost = "homeLost"
)

const (
	// mostCarried bounds the requests of other VMs that are under way here at
	// once: beyond it the processor would be what all of them wait for.
	mostCarried = 256
	// homeName keeps what a gather takes elsewhere apart from what one server
	// takes.
	homeName = "home "
)

// forward has a VM that is better placed take a request. It is nil if none did
// anything, and this VM has to take it itself.
func (en *Entry) forward(ctx context.Context, homes []*origin.Upstream, rq *request, rt *route.Route) *response {
	pa := en.pace.of(&route.Route{Name: homeName + rt.Name, Target: rt.Target})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(en.ending, cancel)()
	began := en.cfg.Clock()
	rp, addr, err := en.cfg.Homes.Carry(ctx, homes, pa.takes(), en.carryRequest(rq, rt, began))
	now := en.cfg.Clock()
	if err != nil && !carry.MayHaveRun(err) {
		en.cfg.Meter.Count(meter.Sent, "homeNone")
		return nil
	}
	line := en.cfg.Log.Info().Str("id", rq.id).Str("route", rt.Name).Str("home", addr).
		Float64("ms", float64((now-rq.began).Microseconds())/1000)
	en.asked.Add(1)
	if err != nil || rp.GetStatus() >= consts.StatusInternalServerError {
		en.unserved.Add(1)
	}
	if err != nil {
		en.cfg.Meter.Count(meter.Sent, "homeLost")
		line.Int("status", consts.StatusBadGateway).Err(err).Msg("forwarded and lost")
		return own(consts.StatusBadGateway, reasonHomeLost, "the request may have run")
	}
	pa.observe(now - began)
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
		// This VM writes the answer too.
		AwayUs: uint64((rq.away + en.lead.Own()).Microseconds()),
	}
	if rq.patience > 0 {
		cr.LeftUs = uint64(max(1, (rq.patience - spent).Microseconds()))
	}
	for _, fi := range rq.fields {
		cr.Fields = append(cr.Fields, &inner.Field{Name: fi.name, Value: fi.value})
	}
	return cr
}

// Carry serves inner.Home: it takes a request for another VM. One without id only
// asks whether this VM lives.
func (en *Entry) Carry(ctx context.Context, cr *inner.CarryRequest) (*inner.CarryReply, error) {
	if cr.GetId() == "" {
		return declined(declinedProbe), nil
	}
	if en.leaving.Load() {
		return declined(declinedLeaving), nil
	}
	en.inFlight.Add(1)
	defer en.inFlight.Add(-1)
	if en.carried.Add(1) > mostCarried {
		en.carried.Add(-1)
		return declined(declinedBusy), nil
	}
	defer en.carried.Add(-1)
	rq := carriedRequest(cr, en.cfg.Clock(), en.lead)
	vw := en.cfg.View()
	rt, reason := en.routeOf(vw, rq, cr)
	if reason != "" {
		en.noteDeclined(rq, reason)
		return declined(reason), nil
	}
	if cr.GetSuspect() {
		en.HintPoison(poison.Record{Fingerprint: rq.fingerprint()})
	}
	if en.suspicion(rq) == poison.Blocked {
		return en.block(rq).carried(fanout.OutcomeNotRun.String())
	}
	if !rt.Idempotent && !rq.suspect {
		return declined(declinedRoute), nil
	}
	rs, outcome := en.take(ctx, rq, rt, vw)
	return rs.carried(outcome)
}

// routeOf finds the route of another VM's request, or tells why it is declined. The
// route must be the same there and here: VMs that hear of a new configuration at
// different times would else show servers and callers the new one and then the old
// one through the same VM, as if it had gone back.
func (en *Entry) routeOf(vw *plan.View, rq *request, cr *inner.CarryRequest) (*route.Route, string) {
	if vw.Routes() == nil {
		return nil, reasonNoRoutes
	}
	rt, ok := vw.Routes().Match(rq.host, rq.path)
	switch {
	case !ok:
		return nil, declinedRoute
	case cr.GetRoute() != 0 && cr.GetRoute() != rt.Digest():
		return nil, carry.ReasonOtherRoute
	}
	return rt, ""
}

// noteDeclined counts and logs why another VM's request is not taken.
func (en *Entry) noteDeclined(rq *request, reason string) {
	if reason == carry.ReasonOtherRoute {
		en.cfg.Meter.Count(meter.Sent, reason)
	}
	en.cfg.Log.Info().Str("id", rq.id).Str("reason", reason).Uint64("version", version(en.cfg.View())).
		Msg("declined for another VM")
}

func declined(reason string) *inner.CarryReply {
	return &inner.CarryReply{Declined: true, Reason: reason}
}
