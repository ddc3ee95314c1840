package emul

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"laburnumvane/io/wire"
)

// statusCancelled is the status of a sub-request that was cancelled while running. The caller
// does not wait for this reply.
const statusCancelled = 499

func (up *Upstream) routes() []route {
	return []route{
		{http.MethodPost, wire.RouteShardSearch, up.serveSearch},
		{http.MethodPost, wire.RouteShardCancel, up.serveCancel},
		{http.MethodGet, wire.RouteUpLoad, up.serveLoad},
		{http.MethodGet, wire.RouteUpHealth, up.serveHealth},
		{http.MethodGet, wire.RoutePing, up.servePing},
	}
}

func (up *Upstream) serveSearch(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.ShardRequest](rc)
	if !ok {
		return
	}
	if up.drawError() {
		replyError(rc, http.StatusInternalServerError, reasonFault, "the server fails")
		return
	}
	qu, err := ParseQuery(rq.Query)
	if err != nil {
		replyError(rc, http.StatusBadRequest, reasonQuery, err.Error())
		return
	}
	jb, rf := up.admit(rq, qu)
	if rf != "" {
		up.refuse(rc, rq, rf)
		return
	}
	ctx := up.incarnationContext()
	up.finish(rc, jb, up.runJob(ctx, jb))
}

// incarnationContext returns the context of the present incarnation, or a cancelled context if
// the server has crashed meanwhile.
func (up *Upstream) incarnationContext() context.Context {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host != nil {
		return up.host.ctx
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (up *Upstream) finish(rc *app.RequestContext, jb *job, jo jobOutcome) {
	switch jo {
	case jobDone:
		up.replyHits(rc, jb)
	case jobExpiredQueued, jobCancelledQueued:
		up.refuse(rc, jb.req, wire.RefusalExpired)
	case jobExpiredRunning:
		replyError(rc, http.StatusGatewayTimeout, reasonDeadline, "the deadline passed")
	case jobCancelledRunning:
		replyError(rc, statusCancelled, reasonCancelled, "cancelled")
	case jobStopped:
		replyError(rc, http.StatusServiceUnavailable, reasonStopped, "the server stops")
	}
}

func (up *Upstream) replyHits(rc *app.RequestContext, jb *job) {
	hits, more := jb.query.Run(jb.snap, jb.req.Shard, jb.req.Limit)
	reply(rc, http.StatusOK, wire.ShardReply{
		ID:       jb.req.ID,
		Shard:    jb.req.Shard,
		Snapshot: jb.snap.Version,
		Shards:   jb.snap.Shards,
		Hits:     hits,
		More:     more,
		Load:     up.Load(),
	})
}

// refuse answers with status 200: the refusal in the body is the server's own statement that
// nothing was run. A status code alone could come from an intermediary.
func (up *Upstream) refuse(rc *app.RequestContext, rq wire.ShardRequest, rf wire.Refusal) {
	ry := wire.ShardReply{ID: rq.ID, Shard: rq.Shard, Refusal: rf}
	if rf == wire.RefusalShed {
		ry.RetryAfterMs = up.cfg.RetryAfter.Milliseconds()
	}
	up.mu.Lock()
	up.refusals[rf]++
	ry.Load = up.load()
	if sn := up.newestSnapshot(rq.Register); sn != nil {
		ry.Snapshot = sn.Version
		ry.Shards = sn.Shards
	}
	up.mu.Unlock()
	reply(rc, http.StatusOK, ry)
}

func (up *Upstream) newestSnapshot(register string) *Snapshot {
	for i := len(up.holdings) - 1; i >= 0; i-- {
		if up.holdings[i].snap.Register == register {
			return up.holdings[i].snap
		}
	}
	return nil
}

func (up *Upstream) serveCancel(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.CancelRequest](rc)
	if !ok {
		return
	}
	up.cancel(rq.ID)
	reply(rc, http.StatusOK, struct{}{})
}

func (up *Upstream) servePing(_ context.Context, rc *app.RequestContext) {
	reply(rc, http.StatusOK, struct{}{})
}

func (up *Upstream) serveLoad(_ context.Context, rc *app.RequestContext) {
	reply(rc, http.StatusOK, up.status())
}

func (up *Upstream) serveHealth(_ context.Context, rc *app.RequestContext) {
	us := up.status()
	code := http.StatusOK
	if us.State != wire.UpstreamServing {
		code = http.StatusServiceUnavailable
	}
	reply(rc, code, us.UpstreamLoad)
}

// status returns what the load and health endpoints report. Faults may delay or falsify it.
func (up *Upstream) status() wire.UpstreamStatus {
	up.mu.Lock()
	defer up.mu.Unlock()
	now := up.cfg.Clock()
	if !up.hasReported || now-up.reportedAt >= up.faults.StatusLag {
		up.reported = up.actualStatus()
		up.reportedAt = now
		up.hasReported = true
	}
	us := up.reported
	if up.faults.ClaimedState != "" {
		us.State = up.faults.ClaimedState
		us.InFlight = 0
		us.Queued = 0
	}
	return us
}

func (up *Upstream) actualStatus() wire.UpstreamStatus {
	us := wire.UpstreamStatus{UpstreamLoad: up.load(), Slots: up.cfg.Slots, Holdings: []wire.ShardHolding{}}
	if up.host != nil {
		us.Connections = up.host.listener.countOpen()
	}
	for _, hd := range up.holdings {
		us.Holdings = append(us.Holdings, wire.ShardHolding{
			Register: hd.snap.Register,
			Snapshot: hd.snap.Version,
			Shards:   hd.snap.Shards,
			Held:     hd.shards,
		})
	}
	return us
}
