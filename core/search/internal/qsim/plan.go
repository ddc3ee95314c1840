package qsim

import (
	"time"

	"laburnumvane/core/view"
)

const (
	firstVersion = 1
	changeEvery  = time.Second
	// rollout is the time within which all servers take a new snapshot up.
	rollout = 300 * time.Millisecond
	// holdLag is how long the sender's view takes to show what servers hold.
	holdLag    = 100 * time.Millisecond
	keep       = 2
	drainEvery = 300 * time.Millisecond
	drainFor   = time.Second
)

func (sm *sim) build() {
	pl := sm.cfg.Plant
	for i := range pl.Services * pl.Servers {
		sm.servers = append(sm.servers, &server{
			id:      view.ServerID(i),
			service: i / pl.Servers,
			held:    []uint64{firstVersion},
		})
	}
	sm.version = firstVersion
	sm.servers[0].slow = sm.cfg.Fault.SlowServer
	sm.look()
}

// plan puts the faults into the run.
func (sm *sim) plan() {
	ft := sm.cfg.Fault
	if ft.LoseAt > 0 {
		sm.After(ft.LoseAt, event{kind: evCall, call: sm.loseOneOfEach})
	}
	if ft.Drain {
		sm.After(drainEvery, event{kind: evCall, call: func() { sm.drain(0) }})
	}
	if ft.Change {
		sm.After(changeEvery, event{kind: evCall, call: sm.change})
	}
}

// over tells that all searches have arrived: the plan must not go on for ever.
func (sm *sim) over() bool {
	return sm.arrived >= sm.cfg.Searches
}

func (sm *sim) loseOneOfEach() {
	working := map[*server][]*flight{}
	for _, fl := range sm.working() {
		working[fl.server] = append(working[fl.server], fl)
	}
	for i := 0; i < len(sm.servers); i += sm.cfg.Plant.Servers {
		sv := sm.servers[i]
		sv.die(sm, working[sv])
		sm.After(viewLag, event{kind: evCall, call: func() { sv.out = true }})
	}
}

// working lists the sub-requests in slots and queues, in the order of events.
func (sm *sim) working() []*flight {
	var out []*flight
	for ev := range sm.All() {
		if ev.kind == evWorked {
			out = append(out, ev.fl)
		}
	}
	for _, sv := range sm.servers {
		out = append(out, sv.queue...)
	}
	return out
}

// drain makes one server of a service leave, and come back later.
func (sm *sim) drain(service int) {
	if sm.over() {
		return
	}
	sv := sm.servers[service*sm.cfg.Plant.Servers]
	sv.draining = true
	sm.After(drainFor, event{kind: evCall, call: func() { sv.draining, sv.out = false, false }})
	next := (service + 1) % sm.cfg.Plant.Services
	sm.After(drainEvery, event{kind: evCall, call: func() { sm.drain(next) }})
}

// sign takes a server that said it is leaving out of the view.
func (sm *sim) sign(sv *server) {
	sm.After(signLag, event{kind: evCall, call: func() { sv.out = sv.draining || sv.dead }})
}

// change brings a new snapshot, which servers take up one by one.
func (sm *sim) change() {
	if sm.over() {
		return
	}
	sm.version++
	version := sm.version
	for _, sv := range sm.servers {
		after := time.Duration(sm.rnd.Int64N(int64(rollout)))
		sm.After(after, event{kind: evCall, call: func() { sv.hold(version) }})
		sm.After(after+holdLag, event{kind: evCall, call: sm.look})
	}
	sm.After(changeEvery, event{kind: evCall, call: sm.change})
}

func (sv *server) hold(version uint64) {
	sv.held = append([]uint64{version}, sv.held...)
	sv.held = sv.held[:min(keep, len(sv.held))]
}

// look renews what the sender knows of who holds what. A server that answers
// only its newest is known to.
func (sm *sim) look() {
	sm.register = view.Register{}
	for version := sm.version; version > 0 && version+keep > sm.version; version-- {
		sn := view.Snapshot{Version: version, Replicas: make([][]view.ServerID, sm.cfg.Plant.Shards)}
		for i := range sn.Replicas {
			sn.Replicas[i] = sm.holders(i%sm.cfg.Plant.Services, version)
		}
		sm.register.Snapshots = append(sm.register.Snapshots, sn)
	}
}

func (sm *sim) holders(service int, version uint64) []view.ServerID {
	var out []view.ServerID
	first := service * sm.cfg.Plant.Servers
	for _, sv := range sm.servers[first : first+sm.cfg.Plant.Servers] {
		newest := sv.held[0] == version
		if newest || !sm.cfg.Fault.ReportOnly && holds(sv.held, version) {
			out = append(out, sv.id)
		}
	}
	return out
}

func (sm *sim) live(id view.ServerID) bool {
	return !sm.servers[id].out
}

// Pick takes the better of two at random by work in flight and latency.
func (sm *sim) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	var free [8]*server
	n := 0
	for _, id := range replicas {
		sv := sm.servers[id]
		if !sv.out && !among(tried, id) && n < len(free) {
			free[n] = sv
			n++
		}
	}
	switch n {
	case 0:
		return 0, false
	case 1:
		return free[0].id, true
	}
	i, k := sm.rnd.IntN(n), sm.rnd.IntN(n-1)
	if k >= i {
		k++
	}
	if free[k].cost() < free[i].cost() {
		return free[k].id, true
	}
	return free[i].id, true
}

func (sv *server) cost() time.Duration {
	return time.Duration(sv.flying+1) * max(sv.latency, 1)
}

func among(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
