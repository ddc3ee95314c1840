package emul

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"laburnumvane/io/wire"
)

// statusCancelled answers a sub-request that was cancelled while it ran; nobody
// waits for this reply.
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
	ctx := up.lifetime()
	up.finish(rc, jb, up.work(ctx, jb))
}

// lifetime is the context of the present incarnation; a server that crashed in
// this moment has none, and its context has ended.
func (up *Upstream) lifetime() context.Context {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host != nil {
		return up.host.ctx
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (up *Upstream) finish(rc *app.RequestContext, jb *job, en ending) {
	switch en {
	case endDone:
		up.answer(rc, jb)
	case endExpired, endUnstarted:
		up.refuse(rc, jb.req, wire.RefusalExpired)
	case endDeadline:
		replyError(rc, http.StatusGatewayTimeout, reasonDeadline, "the deadline passed")
	case endCancelled:
		replyError(rc, statusCancelled, reasonCancelled, "cancelled")
	case endStopped:
		replyError(rc, http.StatusServiceUnavailable, reasonStopped, "the server stops")
	}
}

func (up *Upstream) answer(rc *app.RequestContext, jb *job) {
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

// refuse answers with status 200: the refusal in the body is the server's own
// word that nothing ran, which a bare status from anything between is not.
func (up *Upstream) refuse(rc *app.RequestContext, rq wire.ShardRequest, rf wire.Refusal) {
	ry := wire.ShardReply{ID: rq.ID, Shard: rq.Shard, Refusal: rf}
	if rf == wire.RefusalShed {
		ry.RetryAfterMs = up.cfg.RetryAfter.Milliseconds()
	}
	up.mu.Lock()
	up.refusals[rf]++
	ry.Load = up.load()
	if sn := up.newest(rq.Register); sn != nil {
		ry.Snapshot = sn.Version
		ry.Shards = sn.Shards
	}
	up.mu.Unlock()
	reply(rc, http.StatusOK, ry)
}

func (up *Upstream) newest(register string) *Snapshot {
	for i := len(up.held) - 1; i >= 0; i-- {
		if up.held[i].snap.Register == register {
			return up.held[i].snap
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

// status is what the endpoints say, which the faults may hold back or falsify.
func (up *Upstream) status() wire.UpstreamStatus {
	up.mu.Lock()
	defer up.mu.Unlock()
	now := up.cfg.Clock()
	if !up.toldOnce || now-up.toldAt >= up.faults.StatusLag {
		up.told = up.trueStatus()
		up.toldAt = now
		up.toldOnce = true
	}
	us := up.told
	if up.faults.Claim != "" {
		us.State = up.faults.Claim
		us.InFlight = 0
		us.Queued = 0
	}
	return us
}

func (up *Upstream) trueStatus() wire.UpstreamStatus {
	us := wire.UpstreamStatus{UpstreamLoad: up.load(), Slots: up.cfg.Slots, Holdings: []wire.ShardHolding{}}
	if up.host != nil {
		us.Connections = up.host.gate.open()
	}
	for _, hd := range up.held {
		us.Holdings = append(us.Holdings, wire.ShardHolding{
			Register: hd.snap.Register,
			Snapshot: hd.snap.Version,
			Shards:   hd.snap.Shards,
			Held:     hd.shards,
		})
	}
	return us
}
