package drive

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"laburnumvane/core/pick"
	"laburnumvane/core/search"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// ReasonNoWorker is the reason of a sub-request for which no worker was free.
const ReasonNoWorker = "workers"

// attempt is one sub-request: one exchange that results in one event.
type attempt struct {
	se        *session
	ac        search.Action
	cancelled atomic.Bool
}

// id returns the sub-request's id on the wire, which is unique across restarts.
func (at *attempt) id() string {
	return at.se.subIDPrefix + strconv.FormatUint(uint64(at.ac.Sub.Attempt), 10)
}

// run performs the exchange, on a worker.
func (at *attempt) run() {
	se := at.se
	rq := wire.ShardRequest{
		ID:       at.id(),
		Register: se.register,
		Shard:    at.ac.Shard,
		Snapshot: at.ac.Snapshot,
		Query:    se.rq.Query,
		Limit:    se.kd.conf.HitLimit,
	}
	start := se.dr.now()
	rp, err := at.send(rq)
	latency := se.dr.now() - start
	at.finish(se.dr.eventOf(at, rq.ID, &rp, err), rp, latency)
}

func (at *attempt) send(rq wire.ShardRequest) (wire.ShardReply, error) {
	se := at.se
	up := se.dr.cfg.Upstream(at.ac.Server)
	ctx := se.subCtx
	if at.ac.Deadline != se.deadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(se.subCtx, se.dr.started.Add(at.ac.Deadline))
		defer cancel()
	}
	if se.once {
		return up.SearchOnce(ctx, rq)
	}
	return up.Search(ctx, rq)
}

// finish records the sub-request's result and posts its event to the search.
func (at *attempt) finish(ev search.Event, rp wire.ShardReply, latency time.Duration) {
	se := at.se
	defer se.release()
	result := at.pickResult(ev, rp.Refusal)
	se.dr.cfg.Table.End(se.dr.now(), at.ac.Server, result, latency)
	se.admitted.endSubRequest(at.ac.Server, at.limitSample(result, rp, latency))
	if ev.Kind == search.EvReply {
		se.kd.tracker.Observe(latency)
		se.dr.counts.observeLatency(at.ac.Sub, latency)
	}
	if !se.mailbox.post(ev) && ev.Kind == search.EvReply {
		se.dr.cfg.Meter.Count(meter.Dropped, "afterAnswer")
	}
}

// pickResult returns what the result of the exchange says about its server.
func (at *attempt) pickResult(ev search.Event, rf wire.Refusal) pick.Result {
	switch {
	case ev.Kind == search.EvReply:
		return pick.Replied
	case rf == wire.RefusalShed || rf == wire.RefusalCold:
		return pick.Refused
	case ev.Kind == search.EvRefused || at.cancelled.Load() || isLocalFailure(ev.Reason):
		return pick.NoResult
	default:
		return pick.Failed
	}
}
