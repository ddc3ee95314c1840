package entry

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/plan"
)

// refuseCutOff refuses a request that this VM cannot serve while it is cut off.
func (en *Entry) refuseCutOff(rq *request) *response {
	en.routed.Add(1)
	en.unserved.Add(1)
	rs := refusalResponse(consts.StatusServiceUnavailable, reasonCutOff, "this VM reaches too few servers")
	since := en.cfg.Clock() - time.Duration(en.cutOffSince.Load())
	rs.setRetryAfter(max(retryAfterBusy, retryAfterCutOff-since))
	en.logRefused(rq, rs.status, reasonCutOff)
	return rs
}

// refuse answers a request that is not sent to servers. After a request that could not be read
// the connection is closed, because the start of the next request is unknown.
func (en *Entry) refuse(rc *app.RequestContext, rq *request, rf *refusal) {
	rs := refusalResponse(rf.status, rf.Reason, rf.Error)
	switch rf.status {
	case consts.StatusServiceUnavailable:
		rs.setRetryAfter(retryAfterBoot)
	case consts.StatusNotFound:
	default:
		rc.SetConnectionClose()
	}
	rs.write(rc)
	en.logRefused(rq, rf.status, rf.Reason)
}

func (en *Entry) logRefused(rq *request, status int, reason string) {
	rq.logAccount(en.cfg.Log.Info().Str("id", rq.id)).Str("host", rq.host).Str("path", rq.path).
		Int("status", status).Str("reason", reason).Uint64("version", configVersion(en.cfg.View())).
		Msg("refused")
}

func configVersion(vw *plan.View) uint64 {
	if tb := vw.Routes(); tb != nil {
		return tb.Version()
	}
	return 0
}
