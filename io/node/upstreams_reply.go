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

// tallyEvery bounds how often one server's tally is handed to control: traffic
// counts, control decides, and fifty decisions a second are plenty.
const tallyEvery = 20 * time.Millisecond

// upstream is one server as traffic uses it. What replies show is counted here,
// and control is told only where there is something to decide: nothing at all
// for a server that is well and answers.
type upstream struct {
	*upst.Server
	id view.ServerID
	nd *Node
	// pooled tells that the connections are the server's own.
	pooled bool

	// incarnation is the one in the view.
	incarnation atomic.Uint64
	// watched has good replies counted too.
	watched atomic.Bool
	pending atomic.Bool
	postAt  atomic.Int64
	newsOut atomic.Bool

	good, shed, cold, failed atomic.Int64
	saysCold                 atomic.Bool

	// dropped is the holding that control was told last to drop.
	dropped atomic.Uint64
	turned  atomic.Bool
}

// upstream is a server by its id.
func (nd *Node) upstream(id view.ServerID) *upstream {
	return (*nd.ups.Load())[id]
}

// Search sends a sub-request and sees to what its reply tells of snapshots.
func (up *upstream) Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	rp, err := up.Server.Search(ctx, rq)
	up.sawHolding(rq, rp, err)
	return rp, err
}

// SearchOnce is Search for a sub-request that must not be repeated.
func (up *upstream) SearchOnce(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	rp, err := up.Server.SearchOnce(ctx, rq)
	up.sawHolding(rq, rp, err)
	return rp, err
}

// sawHolding tells control, once for each holding, that a server refused a
// snapshot that the maps say it holds, or answered another than the one wished.
func (up *upstream) sawHolding(rq wire.ShardRequest, rp wire.ShardReply, err error) {
	if err != nil {
		return
	}
	gone := rp.Refusal == wire.RefusalSnapshotGone || rp.Refusal == wire.RefusalNotHeld
	if !gone && (rp.Refusal != "" || rp.Snapshot == rq.Snapshot) {
		return
	}
	mark := xxhash.Sum64String(rq.Register) ^ rq.Snapshot
	if up.dropped.Swap(mark) != mark {
		up.nd.post(holdingSeen{id: up.id, register: rq.Register, version: rq.Snapshot, gone: gone})
	}
}

// forget lets the next refusal count anew, after the holdings were learnt.
func (up *upstream) forget() {
	up.dropped.Store(0)
}

// known takes what control has decided.
func (up *upstream) known(st server.Status) {
	up.incarnation.Store(st.Incarnation)
	if st.State != view.StateServing {
		up.watched.Store(true)
	}
}

type holdingSeen struct {
	id       view.ServerID
	register string
	version  uint64
	gone     bool
}

func (ev holdingSeen) apply(ct *control) {
	us := ct.ups
	if ev.gone {
		for _, key := range us.placed.registersOf(ev.id, ev.register) {
			if us.maps.Drop(ev.id, key, ev.version) {
				ct.nd.meter.Count(meter.Server, "holdingDropped")
			}
		}
	}
	us.polls.Urge(us.now(), ev.id)
}

// Replied takes what a reply shows of a server.
func (nd *Node) Replied(id view.ServerID, load wire.UpstreamLoad, refusal wire.Refusal) {
	up := nd.upstream(id)
	leaving := load.State == wire.UpstreamDraining || refusal == wire.RefusalDraining
	if load.Incarnation != up.incarnation.Load() {
		up.news(load, leaving)
		return
	}
	if leaving {
		if nd.view.Load().ServerRef(id).State != view.StateDraining {
			up.news(load, true)
		}
		return
	}
	switch refusal {
	case "":
		if !up.watched.Load() {
			return
		}
		up.good.Add(1)
	case wire.RefusalShed:
		up.watched.Store(true)
		up.shed.Add(1)
	case wire.RefusalCold:
		up.watched.Store(true)
		up.cold.Add(1)
	default:
		return
	}
	up.saysCold.Store(load.State == wire.UpstreamCold)
	up.tally()
}

// news hands over what cannot wait for a tally: another incarnation, a drain.
func (up *upstream) news(load wire.UpstreamLoad, leaving bool) {
	if load.Incarnation < up.incarnation.Load() {
		up.nd.meter.Count(meter.Server, "oldNews")
		return
	}
	if up.newsOut.CompareAndSwap(false, true) {
		up.nd.post(newsSeen{id: up.id, load: load, leaving: leaving})
	}
}

type newsSeen struct {
	id      view.ServerID
	load    wire.UpstreamLoad
	leaving bool
}

func (ev newsSeen) apply(ct *control) {
	ct.nd.upstream(ev.id).newsOut.Store(false)
	se := server.Event{Kind: server.Reply, Incarnation: ev.load.Incarnation, Says: saysOf(ev.load.State), Good: 1}
	if ev.leaving {
		se.Says, se.Good = server.SaysDraining, 0
	}
	ct.ups.step(ev.id, se)
}

// Failed takes the failure of an exchange with a server.
func (nd *Node) Failed(id view.ServerID, kind string) {
	up := nd.upstream(id)
	if upst.Kind(kind) == upst.KindRefused {
		if up.turned.CompareAndSwap(false, true) {
			nd.post(turnedAway{id: id, open: up.Open()})
		}
		return
	}
	if !kindCounts(upst.Kind(kind)) {
		return
	}
	up.watched.Store(true)
	up.failed.Add(1)
	up.tally()
}

// turnedAway tells that a server closed a new connection at once.
type turnedAway struct {
	id   view.ServerID
	open int
}

func (ev turnedAway) apply(ct *control) {
	ct.nd.upstream(ev.id).turned.Store(false)
	ct.nd.meter.Count(meter.Server, "tooManyConnections")
	ct.ups.plan.refused(ct.ups.now(), ev.id, ev.open)
	if ev.open == 0 {
		// Without a single connection it is no sign of too many.
		ct.ups.step(ev.id, server.Event{Kind: server.Failure, Failed: 1})
	}
}

// tally has control take the counts, at most once in tallyEvery.
func (up *upstream) tally() {
	now := int64(time.Since(up.nd.started))
	if now-up.postAt.Load() < int64(tallyEvery) || !up.pending.CompareAndSwap(false, true) {
		return
	}
	up.postAt.Store(now)
	up.nd.post(tallied{id: up.id})
}

type tallied struct {
	id view.ServerID
}

func (ev tallied) apply(ct *control) {
	up := ct.nd.upstream(ev.id)
	up.pending.Store(false)
	good, shed, cold, failed := up.good.Swap(0), up.shed.Swap(0), up.cold.Swap(0), up.failed.Swap(0)
	if good+shed+cold > 0 {
		says := server.SaysServing
		if up.saysCold.Load() {
			says = server.SaysCold
		}
		ct.ups.step(ev.id, server.Event{
			Kind: server.Reply, Incarnation: up.incarnation.Load(), Says: says,
			Good: int(good), Shed: int(shed), Cold: int(cold),
		})
	}
	if failed > 0 {
		ct.ups.step(ev.id, server.Event{Kind: server.Failure, Failed: int(failed)})
	}
	if ct.ups.states.Calm(ev.id) {
		up.watched.Store(false)
	}
}
