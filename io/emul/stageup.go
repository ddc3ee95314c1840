package emul

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"laburnumvane/io/wire"
)

func (sg *Stage) serveUpstream(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[UpstreamFaultRequest](rc)
	if !ok {
		return
	}
	svs := sg.targets(rq.Target)
	if len(svs) == 0 {
		replyError(rc, http.StatusNotFound, reasonTarget, "no server or service is called "+rq.Target)
		return
	}
	ry := UpstreamFaultReply{Addrs: []string{}}
	for _, sv := range svs {
		sv.Upstream.SetFaults(faultsOf(rq))
		if err := applyAction(sv.Upstream, rq.Action); err != nil {
			replyError(rc, http.StatusConflict, reasonAction, err.Error())
			return
		}
		ry.Addrs = append(ry.Addrs, sv.Addr)
	}
	reply(rc, http.StatusOK, ry)
}

func (sg *Stage) targets(target string) []Server {
	var svs []Server
	for _, sv := range sg.fleet.Servers() {
		if target == EveryUpstream || target == sv.Addr || target == sv.Service {
			svs = append(svs, sv)
		}
	}
	return svs
}

func faultsOf(rq UpstreamFaultRequest) UpstreamFaults {
	return UpstreamFaults{
		SlowShare:    rq.SlowShare,
		SlowTimes:    rq.SlowTimes,
		ErrorShare:   rq.ErrorShare,
		Mute:         rq.Mute,
		SilentAfter:  rq.SilentAfter,
		StatusLag:    millis(rq.StatusLagMs),
		ClaimedState: rq.Claim,
	}
}

func applyAction(up *Upstream, ac UpstreamAction) error {
	switch ac {
	case "":
	case ActionCrash:
		up.Crash()
	case ActionRestart:
		up.Crash()
		return up.Restart(wire.UpstreamServing)
	case ActionDrain:
		up.SetState(wire.UpstreamDraining)
	case ActionCold:
		up.SetState(wire.UpstreamCold)
	case ActionServe:
		up.SetState(wire.UpstreamServing)
	case ActionSilence:
		up.Silence()
	default:
		return errorf("Stage", KindConfig, "no action %q", string(ac))
	}
	return nil
}
