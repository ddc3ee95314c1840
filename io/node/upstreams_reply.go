package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// tallyInterval is the minimum time between two tallies of one server that are posted to the
// control goroutine. Searches count replies, the control goroutine decides on the server's
// state, and fifty decisions a second are enough.
const tallyInterval = 20 * time.Millisecond

// upstream is one server as searches use it. It counts the results of replies and posts events
// to the control goroutine only if there may be something to decide. For a healthy server that
// answers it posts none.
type upstream struct {
	*upst.Server
	id view.ServerID
	nd *Node
	// pooled is set if the server has a connection pool of its own.
	pooled bool

	// incarnation is the server's incarnation in the view.
	incarnation atomic.Uint64
	// countGood is set if good replies are counted too.
	countGood          atomic.Bool
	tallyPending       atomic.Bool
	lastTally          atomic.Int64
	stateChangePending atomic.Bool

	good, shed, cold, failed atomic.Int64
	reportsCold              atomic.Bool

	// lastDropped is a hash of the last holding that was reported as wrong.
	lastDropped    atomic.Uint64
	refusalPending atomic.Bool
}

// upstream returns a server by its id.
func (nd *Node) upstream(id view.ServerID) *upstream {
	return (*nd.upstreams.Load())[id]
}

// Search sends a sub-request and checks the reply's snapshot against the server's holdings.
func (up *upstream) Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	rp, err := up.Server.Search(ctx, rq)
	up.checkHolding(rq, rp, err)
	return rp, err
}

// SearchOnce is like Search, for a sub-request that must not be repeated.
func (up *upstream) SearchOnce(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	rp, err := up.Server.SearchOnce(ctx, rq)
	up.checkHolding(rq, rp, err)
	return rp, err
}

// checkHolding posts, once for each holding, that a server refused a snapshot that it holds
// according to the maps, or answered with another snapshot than requested.
func (up *upstream) checkHolding(rq wire.ShardRequest, rp wire.ShardReply, err error) {
	if err != nil {
		return
	}
	gone := rp.Refusal == wire.RefusalSnapshotGone || rp.Refusal == wire.RefusalNotHeld
	if !gone && (rp.Refusal != "" || rp.Snapshot == rq.Snapshot) {
		return
	}
	mark := xxhash.Sum64String(rq.Register) ^ rq.Snapshot
	if up.lastDropped.Swap(mark) != mark {
		up.nd.post(holdingMismatch{id: up.id, register: rq.Register, version: rq.Snapshot, gone: gone})
	}
}

// resetDropped lets the next refusal be reported again. It is called when the holdings are
// updated.
func (up *upstream) resetDropped() {
	up.lastDropped.Store(0)
}

// setStatus stores the status that the control goroutine has decided.
func (up *upstream) setStatus(st server.Status) {
	up.incarnation.Store(st.Incarnation)
	if st.State != view.StateServing {
		up.countGood.Store(true)
	}
}

type holdingMismatch struct {
	id       view.ServerID
	register string
	version  uint64
	gone     bool
}

func (ev holdingMismatch) apply(ct *control) {
	us := ct.upstreams
	if ev.gone {
		for _, key := range us.placement.registersOf(ev.id, ev.register) {
			if us.maps.Drop(ev.id, key, ev.version) {
				ct.nd.meter.Count(meter.Server, "holdingDropped")
			}
		}
	}
	us.polls.PollSoon(us.now(), ev.id)
}

// ObserveReply processes a server's reply. Refusal is empty for a reply with a result.
func (nd *Node) ObserveReply(id view.ServerID, load wire.UpstreamLoad, refusal wire.Refusal) {
	up := nd.upstream(id)
	leaving := load.State == wire.UpstreamDraining || refusal == wire.RefusalDraining
	if load.Incarnation != up.incarnation.Load() {
		up.postStateChange(load, leaving)
		return
	}
	if leaving {
		if nd.view.Load().ServerRef(id).State != view.StateDraining {
			up.postStateChange(load, true)
		}
		return
	}
	switch refusal {
	case "":
		if !up.countGood.Load() {
			return
		}
		up.good.Add(1)
	case wire.RefusalShed:
		up.countGood.Store(true)
		up.shed.Add(1)
	case wire.RefusalCold:
		up.countGood.Store(true)
		up.cold.Add(1)
	default:
		return
	}
	up.reportsCold.Store(load.State == wire.UpstreamCold)
	up.postTally()
}

// postStateChange posts what cannot wait for the next tally: a new incarnation or a drain.
func (up *upstream) postStateChange(load wire.UpstreamLoad, leaving bool) {
	if load.Incarnation < up.incarnation.Load() {
		up.nd.meter.Count(meter.Server, "oldNews")
		return
	}
	if up.stateChangePending.CompareAndSwap(false, true) {
		up.nd.post(stateChanged{id: up.id, load: load, leaving: leaving})
	}
}

type stateChanged struct {
	id      view.ServerID
	load    wire.UpstreamLoad
	leaving bool
}

func (ev stateChanged) apply(ct *control) {
	ct.nd.upstream(ev.id).stateChangePending.Store(false)
	se := server.Event{Kind: server.Reply, Incarnation: ev.load.Incarnation, Reported: reportedState(ev.load.State), Good: 1}
	if ev.leaving {
		se.Reported, se.Good = server.ReportedDraining, 0
	}
	ct.upstreams.step(ev.id, se)
}

// ObserveFailure processes a failed exchange with a server. Kind is the upst.Kind of the error.
func (nd *Node) ObserveFailure(id view.ServerID, kind string) {
	up := nd.upstream(id)
	if upst.Kind(kind) == upst.KindRefused {
		if up.refusalPending.CompareAndSwap(false, true) {
			nd.post(connRefused{id: id, open: up.Open()})
		}
		return
	}
	if !isServerFailure(upst.Kind(kind)) {
		return
	}
	up.countGood.Store(true)
	up.failed.Add(1)
	up.postTally()
}

// connRefused says that a server closed a new connection at once.
type connRefused struct {
	id   view.ServerID
	open int
}

func (ev connRefused) apply(ct *control) {
	ct.nd.upstream(ev.id).refusalPending.Store(false)
	ct.nd.meter.Count(meter.Server, "tooManyConnections")
	ct.upstreams.plan.refused(ct.upstreams.now(), ev.id, ev.open)
	if ev.open == 0 {
		// Without any open connection the server has not refused for too many of them.
		ct.upstreams.step(ev.id, server.Event{Kind: server.Failure, Failed: 1})
	}
}

// postTally has the control goroutine process the counters, at most once in tallyInterval.
func (up *upstream) postTally() {
	now := int64(time.Since(up.nd.started))
	if now-up.lastTally.Load() < int64(tallyInterval) || !up.tallyPending.CompareAndSwap(false, true) {
		return
	}
	up.lastTally.Store(now)
	up.nd.post(tallyReady{id: up.id})
}

type tallyReady struct {
	id view.ServerID
}

func (ev tallyReady) apply(ct *control) {
	up := ct.nd.upstream(ev.id)
	up.tallyPending.Store(false)
	good, shed, cold, failed := up.good.Swap(0), up.shed.Swap(0), up.cold.Swap(0), up.failed.Swap(0)
	if good+shed+cold > 0 {
		reported := server.ReportedServing
		if up.reportsCold.Load() {
			reported = server.ReportedCold
		}
		ct.upstreams.step(ev.id, server.Event{
			Kind: server.Reply, Incarnation: up.incarnation.Load(), Reported: reported,
			Good: int(good), Shed: int(shed), Cold: int(cold),
		})
	}
	if failed > 0 {
		ct.upstreams.step(ev.id, server.Event{Kind: server.Failure, Failed: int(failed)})
	}
	if ct.upstreams.states.Healthy(ev.id) {
		up.countGood.Store(false)
	}
}
