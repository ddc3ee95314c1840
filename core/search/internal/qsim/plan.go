package qsim

import (
	"time"

	"laburnumvane/core/view"
)

const (
	firstVersion     = 1
	snapshotInterval = time.Second
	// rolloutTime is the time within which all servers load a new snapshot.
	rolloutTime = 300 * time.Millisecond
	// holdingLag is how long the sender's view takes to show which snapshots
	// servers hold.
	holdingLag    = 100 * time.Millisecond
	keptSnapshots = 2
	drainInterval = 300 * time.Millisecond
	drainFor      = time.Second
)

func (sm *sim) buildServers() {
	tp := sm.cfg.Topology
	for i := range tp.Services * tp.Servers {
		sm.servers = append(sm.servers, &server{
			id:      view.ServerID(i),
			service: i / tp.Servers,
			held:    []uint64{firstVersion},
		})
	}
	sm.version = firstVersion
	sm.servers[0].slow = sm.cfg.Fault.SlowServerFactor
	sm.updateView()
}

// scheduleFaults schedules the first event of each fault.
func (sm *sim) scheduleFaults() {
	ft := sm.cfg.Fault
	if ft.LoseAt > 0 {
		sm.After(ft.LoseAt, event{kind: evPlanned, call: sm.loseOneOfEach})
	}
	if ft.Drain {
		sm.After(drainInterval, event{kind: evPlanned, call: func() { sm.drain(0) }})
	}
	if ft.Change {
		sm.After(snapshotInterval, event{kind: evPlanned, call: sm.changeSnapshot})
	}
}

// allArrived reports whether all searches have arrived. Recurring faults then stop,
// since the run would not end otherwise.
func (sm *sim) allArrived() bool {
	return sm.arrived >= sm.cfg.Searches
}

func (sm *sim) loseOneOfEach() {
	working := map[*server][]*subRequest{}
	for _, sr := range sm.working() {
		working[sr.server] = append(working[sr.server], sr)
	}
	for i := 0; i < len(sm.servers); i += sm.cfg.Topology.Servers {
		sv := sm.servers[i]
		sv.crash(sm, working[sv])
		sm.After(viewLag, event{kind: evPlanned, call: func() { sv.excluded = true }})
	}
}

// working returns the sub-requests in slots, in the order of their events, and then
// those in queues.
func (sm *sim) working() []*subRequest {
	var out []*subRequest
	for ev := range sm.All() {
		if ev.kind == evServed {
			out = append(out, ev.sub)
		}
	}
	for _, sv := range sm.servers {
		out = append(out, sv.queue...)
	}
	return out
}

// drain makes one server of a service leave and return after drainFor, and
// schedules the same for the next service.
func (sm *sim) drain(service int) {
	if sm.allArrived() {
		return
	}
	sv := sm.servers[service*sm.cfg.Topology.Servers]
	sv.draining = true
	sm.After(drainFor, event{kind: evPlanned, call: func() { sv.draining, sv.excluded = false, false }})
	next := (service + 1) % sm.cfg.Topology.Services
	sm.After(drainInterval, event{kind: evPlanned, call: func() { sm.drain(next) }})
}

// excludeLeaving removes a server that refused because it is leaving from the view.
func (sm *sim) excludeLeaving(sv *server) {
	sm.After(leavingLag, event{kind: evPlanned, call: func() { sv.excluded = sv.draining || sv.dead }})
}

// changeSnapshot publishes a new snapshot, which the servers load one by one.
func (sm *sim) changeSnapshot() {
	if sm.allArrived() {
		return
	}
	sm.version++
	version := sm.version
	for _, sv := range sm.servers {
		after := time.Duration(sm.rnd.Int64N(int64(rolloutTime)))
		sm.After(after, event{kind: evPlanned, call: func() { sv.hold(version) }})
		sm.After(after+holdingLag, event{kind: evPlanned, call: sm.updateView})
	}
	sm.After(snapshotInterval, event{kind: evPlanned, call: sm.changeSnapshot})
}

func (sv *server) hold(version uint64) {
	sv.held = append([]uint64{version}, sv.held...)
	sv.held = sv.held[:min(keptSnapshots, len(sv.held))]
}

// updateView updates the sender's view of the snapshots that servers hold. With
// ReportOnly it lists a server only under its newest snapshot.
func (sm *sim) updateView() {
	sm.register = view.Register{}
	for version := sm.version; version > 0 && version+keptSnapshots > sm.version; version-- {
		sn := view.Snapshot{Version: version, Replicas: make([][]view.ServerID, sm.cfg.Topology.Shards)}
		for i := range sn.Replicas {
			sn.Replicas[i] = sm.holders(i%sm.cfg.Topology.Services, version)
		}
		sm.register.Snapshots = append(sm.register.Snapshots, sn)
	}
}

func (sm *sim) holders(service int, version uint64) []view.ServerID {
	var out []view.ServerID
	first := service * sm.cfg.Topology.Servers
	for _, sv := range sm.servers[first : first+sm.cfg.Topology.Servers] {
		newest := sv.held[0] == version
		if newest || !sm.cfg.Fault.ReportOnly && holds(sv.held, version) {
			out = append(out, sv.id)
		}
	}
	return out
}

func (sm *sim) live(id view.ServerID) bool {
	return !sm.servers[id].excluded
}

// Pick chooses two servers at random and returns the one with the lower product of
// sub-requests in flight and latency.
func (sm *sim) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	var candidates [8]*server
	n := 0
	for _, id := range replicas {
		sv := sm.servers[id]
		if !sv.excluded && !contains(tried, id) && n < len(candidates) {
			candidates[n] = sv
			n++
		}
	}
	switch n {
	case 0:
		return 0, false
	case 1:
		return candidates[0].id, true
	}
	i, k := sm.rnd.IntN(n), sm.rnd.IntN(n-1)
	if k >= i {
		k++
	}
	if candidates[k].cost() < candidates[i].cost() {
		return candidates[k].id, true
	}
	return candidates[i].id, true
}

func (sv *server) cost() time.Duration {
	return time.Duration(sv.inFlight+1) * max(sv.latency, 1)
}

func contains(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
