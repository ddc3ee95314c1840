package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumvane/core/view"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

const (
	loadEvery   = 500 * time.Millisecond
	loadTimeout = 2 * time.Second
)

// pollLoads asks each server for its own account. It is a hint; replies to
// searches say more.
func (nd *Node) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for i, sv := range *nd.servers.Load() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				nd.pollLoad(ctx, view.ServerID(i), sv)
			}()
		}
		wg.Wait()
		pause(ctx, loadEvery)
	}
}

func (nd *Node) pollLoad(ctx context.Context, id view.ServerID, sv *upst.Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	st, err := sv.Load(ctx)
	nd.post(loadSeen{id: id, status: st, err: err})
}

// loadSeen brings a server's account of itself, or the failure to get it.
type loadSeen struct {
	id     view.ServerID
	status wire.UpstreamStatus
	err    error
}

func (ev loadSeen) apply(ct *control) {
	sv := ct.view.Server(ev.id)
	if ev.err != nil {
		ct.setState(sv, view.StateGone, "cannot be reached", sv.Incarnation)
		return
	}
	ct.holdings[ev.id] = ev.status.Holdings
	ct.setState(sv, stateOf(ev.status.State), "says so itself", ev.status.Incarnation)
	ct.mapRegisters()
	ct.publish()
}

func stateOf(us wire.UpstreamState) view.State {
	switch us {
	case wire.UpstreamCold:
		return view.StateCold
	case wire.UpstreamDraining:
		return view.StateDraining
	default:
		return view.StateServing
	}
}

func (ct *control) setState(sv view.Server, st view.State, why string, incarnation uint64) {
	if sv.State == st && sv.Incarnation == incarnation {
		return
	}
	servers := slices.Clone(ct.view.Servers())
	sv.State = st
	sv.Why = why
	sv.Incarnation = incarnation
	servers[sv.ID] = sv
	ct.view = ct.view.WithServers(servers)
	ct.publish()
}

// leavingSeen brings a reply in which a server says that it is leaving.
type leavingSeen struct {
	id          view.ServerID
	incarnation uint64
}

func (ev leavingSeen) apply(ct *control) {
	sv := ct.view.Server(ev.id)
	ct.setState(sv, view.StateDraining, "a reply says so", ev.incarnation)
	ct.signSeen(sv.Addr, ev.incarnation)
}

// Replied takes what a reply shows of a server.
func (nd *Node) Replied(id view.ServerID, load wire.UpstreamLoad, refusal wire.Refusal) {
	if load.State != wire.UpstreamDraining && refusal != wire.RefusalDraining {
		return
	}
	if nd.view.Load().Server(id).State != view.StateDraining {
		nd.post(leavingSeen{id: id, incarnation: load.Incarnation})
	}
}

// Failed takes the failure of an exchange with a server.
func (nd *Node) Failed(view.ServerID, string) {}

// mapRegisters rebuilds the shard maps from what the servers hold.
func (ct *control) mapRegisters() {
	type key struct {
		register view.RegisterKey
		version  uint64
	}
	maps := make(map[key][][]view.ServerID)
	for id, holdings := range ct.holdings {
		sv := ct.view.Server(id)
		for _, ho := range holdings {
			if ho.Register != sv.Register {
				continue
			}
			k := key{view.RegisterKey{Team: sv.Team, Register: sv.Register}, ho.Snapshot}
			replicas, ok := maps[k]
			if !ok {
				replicas = make([][]view.ServerID, ho.Shards)
				maps[k] = replicas
			}
			addReplica(replicas, ho, id)
		}
	}
	registers := make(map[view.RegisterKey]view.Register)
	for k, replicas := range maps {
		rg := registers[k.register]
		rg.Snapshots = append(rg.Snapshots, view.Snapshot{Version: k.version, Replicas: replicas})
		registers[k.register] = rg
	}
	for k, rg := range registers {
		slices.SortFunc(rg.Snapshots, func(a, b view.Snapshot) int {
			return int(int64(b.Version) - int64(a.Version))
		})
		registers[k] = rg
	}
	ct.view = ct.view.WithRegisters(registers)
}

func addReplica(replicas [][]view.ServerID, ho wire.ShardHolding, id view.ServerID) {
	for _, shard := range ho.Held {
		if shard >= 0 && shard < len(replicas) {
			replicas[shard] = append(replicas[shard], id)
		}
	}
}
