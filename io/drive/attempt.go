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

// ReasonWorkers is the reason of a sub-request for which no worker was free.
const ReasonWorkers = "workers"

// attempt is one sub-request on its way: one exchange, one event.
type attempt struct {
	se        *session
	ac        search.Action
	cancelled atomic.Bool
}

// name is the sub-request's id on the wire, unique over restarts.
func (at *attempt) name() string {
	return at.se.name + strconv.FormatUint(uint64(at.ac.Sub.Attempt), 10)
}

// run is the exchange, on a worker.
func (at *attempt) run() {
	se := at.se
	rq := wire.ShardRequest{
		ID:       at.name(),
		Register: se.register,
		Shard:    at.ac.Shard,
		Snapshot: at.ac.Snapshot,
		Query:    se.rq.Query,
		Limit:    se.kd.conf.HitLimit,
	}
	begun := se.dr.now()
	rp, err := at.ask(rq)
	took := se.dr.now() - begun
	at.finish(se.dr.eventOf(at, rq.ID, &rp, err), rp, took)
}

func (at *attempt) ask(rq wire.ShardRequest) (wire.ShardReply, error) {
	se := at.se
	up := se.dr.cfg.Upstream(at.ac.Server)
	ctx := se.work
	if at.ac.Deadline != se.hard {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(se.work, se.dr.start.Add(at.ac.Deadline))
		defer cancel()
	}
	if se.once {
		return up.SearchOnce(ctx, rq)
	}
	return up.Search(ctx, rq)
}

// finish settles the books of the sub-request and hands its event over.
func (at *attempt) finish(ev search.Event, rp wire.ShardReply, took time.Duration) {
	se := at.se
	defer se.release()
	result := at.result(ev, rp.Refusal)
	se.dr.cfg.Table.End(se.dr.now(), at.ac.Server, result, took)
	se.pass.end(at.ac.Server, at.sampleOf(result, rp, took))
	if ev.Kind == search.EvReply {
		se.kd.tracker.Observe(took)
		se.dr.counts.latency(at.ac.Sub, took)
	}
	if !se.box.post(ev) && ev.Kind == search.EvReply {
		se.dr.cfg.Meter.Count(meter.Dropped, "afterAnswer")
	}
}

// result is what the end of the exchange shows of its server.
func (at *attempt) result(ev search.Event, rf wire.Refusal) pick.Result {
	switch {
	case ev.Kind == search.EvReply:
		return pick.Replied
	case rf == wire.RefusalShed || rf == wire.RefusalCold:
		return pick.Refused
	case ev.Kind == search.EvRefused || at.cancelled.Load() || ours(ev.Reason):
		return pick.Nothing
	default:
		return pick.Failed
	}
}
