package node

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

const (
	loadTimeout = 2 * time.Second
	// loadOverhead is what an exchange with a load endpoint costs besides the
	// reply's body: request, headers and acknowledgements.
	loadOverhead = 400
	// maxShards bounds the shard count that is believed of a hint, as a map
	// of that length is made.
	maxShards = 1 << 16
)

// loadSeen brings a server's account of itself, or the failure to get it.
type loadSeen struct {
	id     view.ServerID
	probe  bool
	status wire.UpstreamStatus
	err    error
}

func (ev loadSeen) apply(ct *control) {
	us := ct.ups
	if !ev.probe {
		us.polls.Done(sizeOf(ev))
	}
	if ev.err != nil {
		if countsAgainst(ev.err, ev.probe) {
			us.step(ev.id, server.Event{Kind: server.Failure, Failed: 1, Probe: ev.probe})
		}
		return
	}
	if us.states.Status(ev.id).Incarnation > ev.status.Incarnation && us.states.Status(ev.id).State != view.StateGone {
		// The endpoint lags: this is the account of a process that is over.
		us.ct.nd.meter.Count(meter.Server, "hintLags")
		return
	}
	us.step(ev.id, server.Event{
		Kind:        server.Hint,
		Incarnation: ev.status.Incarnation,
		Says:        saysOf(ev.status.State),
		Probe:       ev.probe,
	})
	us.holds(ev.id, ev.status.Holdings)
}

// sizeOf is about what a poll cost in bytes; 0 for one that failed.
func sizeOf(ev loadSeen) int {
	if ev.err != nil {
		return 0
	}
	body, err := json.Marshal(ev.status)
	if err != nil {
		return 0
	}
	return loadOverhead + len(body)
}

// countsAgainst tells whether a failure says anything of the server, and not
// only of this VM's own bounds or a connection that went silent. A probe that is
// not even tried, since opening a connection has just failed, has failed too.
func countsAgainst(err error, probe bool) bool {
	var ue *upst.Error
	if !errors.As(err, &ue) {
		return false
	}
	return kindCounts(ue.Kind) || probe && (ue.Kind == upst.KindBackoff || ue.Kind == upst.KindRefused)
}

func kindCounts(kind upst.Kind) bool {
	switch kind {
	case upst.KindDial, upst.KindWrite, upst.KindTimeout, upst.KindReset, upst.KindStatus, upst.KindDecode:
		return true
	default:
		return false
	}
}

func saysOf(us wire.UpstreamState) server.Says {
	switch us {
	case wire.UpstreamCold:
		return server.SaysCold
	case wire.UpstreamDraining:
		return server.SaysDraining
	case wire.UpstreamServing:
		return server.SaysServing
	default:
		return server.SaysNothing
	}
}

// holds takes what a server says it holds. News of a newer snapshot has the
// register's other servers asked, and a server that lags is asked again.
func (us *upstreams) holds(id view.ServerID, told []wire.ShardHolding) {
	if us.ct.view.ServerRef(id).State == view.StateGone || !us.plan.uses(id) {
		us.maps.Set(id, nil)
		return
	}
	held := us.heldOf(id, told)
	newest := make(map[view.RegisterKey]uint64)
	for _, ho := range held {
		newest[ho.Key] = max(newest[ho.Key], us.maps.Newest(ho.Key))
	}
	us.maps.Set(id, held)
	us.ct.nd.upstream(id).forget()
	behind := false
	for key, before := range newest {
		now := us.maps.Newest(key)
		if now > before && before > 0 {
			us.urgeOthers(id, key)
		}
		behind = behind || !slices.ContainsFunc(held, func(ho server.Holding) bool { return ho.Key == key && ho.Version == now })
	}
	if behind {
		us.polls.Behind(us.now(), id)
	}
}

func (us *upstreams) heldOf(id view.ServerID, told []wire.ShardHolding) []server.Holding {
	var out []server.Holding
	for _, ho := range told {
		if ho.Shards < 1 || ho.Shards > maxShards {
			continue
		}
		for _, key := range us.placed.registersOf(id, ho.Register) {
			out = append(out, server.Holding{Key: key, Version: ho.Snapshot, Shards: ho.Shards, Held: ho.Held})
		}
	}
	return out
}

func (us *upstreams) urgeOthers(id view.ServerID, key view.RegisterKey) {
	us.ct.nd.meter.Count(meter.Server, "newSnapshot")
	for _, other := range us.placed.byRegister[key] {
		if other != id {
			us.polls.Urge(us.now(), other)
		}
	}
}
