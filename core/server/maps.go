package server

import (
	"maps"
	"slices"

	"laburnumvane/core/view"
)

// Holding lists the shards of one snapshot of one register that a server holds.
type Holding struct {
	Key     view.RegisterKey
	Version uint64
	// Shards is the total number of shards of that snapshot.
	Shards int
	// Held lists the held shards in ascending order.
	Held []int
}

func (ho Holding) equal(other Holding) bool {
	return ho.sameSnapshot(other) && ho.Shards == other.Shards && slices.Equal(ho.Held, other.Held)
}

func (ho Holding) sameSnapshot(other Holding) bool {
	return ho.Key == other.Key && ho.Version == other.Version
}

// Maps keeps the shard maps of all registers. A change of one server copies only the lists of the
// shards that it holds, so that searches in progress keep the maps they started with. It is not
// safe for concurrent use.
type Maps struct {
	// live reports whether a server may take work.
	live      func(view.ServerID) bool
	byServer  map[view.ServerID][]Holding
	registers map[view.RegisterKey]view.Register
	changed   bool
}

// NewMaps returns empty maps. live reports whether a server may take work.
func NewMaps(live func(view.ServerID) bool) *Maps {
	return &Maps{
		live:      live,
		byServer:  make(map[view.ServerID][]Holding),
		registers: make(map[view.RegisterKey]view.Register),
	}
}

// Set replaces what a server holds and reports whether this changed anything.
func (mp *Maps) Set(id view.ServerID, held []Holding) bool {
	differs := false
	for _, old := range mp.byServer[id] {
		if !slices.ContainsFunc(held, old.equal) {
			mp.removeHolding(id, old)
			differs = true
		}
	}
	for _, ho := range held {
		if !slices.ContainsFunc(mp.byServer[id], ho.equal) {
			mp.addHolding(id, ho)
			differs = true
		}
	}
	if differs {
		mp.byServer[id] = slices.Clone(held)
	}
	if len(held) == 0 {
		delete(mp.byServer, id)
	}
	mp.changed = mp.changed || differs
	return differs
}

// Drop removes one snapshot from a server, for instance after a refusal, and reports whether the
// server held it.
func (mp *Maps) Drop(id view.ServerID, key view.RegisterKey, version uint64) bool {
	at := slices.IndexFunc(mp.byServer[id], func(ho Holding) bool {
		return ho.sameSnapshot(Holding{Key: key, Version: version})
	})
	if at < 0 {
		return false
	}
	mp.removeHolding(id, mp.byServer[id][at])
	mp.byServer[id] = slices.Delete(slices.Clone(mp.byServer[id]), at, at+1)
	mp.changed = true
	return true
}

// Held returns what a server holds. The caller must not modify it.
func (mp *Maps) Held(id view.ServerID) []Holding {
	return mp.byServer[id]
}

// Registers returns a copy of the maps for a view and true, or nil and false if they have not
// changed since the last call.
func (mp *Maps) Registers() (map[view.RegisterKey]view.Register, bool) {
	if !mp.changed {
		return nil, false
	}
	mp.changed = false
	return maps.Clone(mp.registers), true
}

// Newest returns the newest version of a register that any server holds, or 0 if there is none.
func (mp *Maps) Newest(key view.RegisterKey) uint64 {
	if sns := mp.registers[key].Snapshots; len(sns) > 0 {
		return sns[0].Version
	}
	return 0
}

// IsLastReplica reports whether a server is the only live replica of some shard in any snapshot
// that it holds.
func (mp *Maps) IsLastReplica(id view.ServerID) bool {
	for _, ho := range mp.byServer[id] {
		sn, ok := mp.snapshot(ho)
		if ok && mp.isLastReplica(id, ho, sn) {
			return true
		}
	}
	return false
}

func (mp *Maps) isLastReplica(id view.ServerID, ho Holding, sn view.Snapshot) bool {
	for _, shard := range ho.Held {
		if shard < 0 || shard >= len(sn.Replicas) {
			continue
		}
		others := slices.ContainsFunc(sn.Replicas[shard], func(other view.ServerID) bool {
			return other != id && mp.live(other)
		})
		if !others {
			return true
		}
	}
	return false
}

func (mp *Maps) snapshot(ho Holding) (view.Snapshot, bool) {
	sns := mp.registers[ho.Key].Snapshots
	at, ok := findSnapshot(sns, ho)
	if !ok {
		return view.Snapshot{}, false
	}
	return sns[at], true
}

// findSnapshot returns the index of a holding's snapshot. If two servers report different shard
// counts for one version, they are kept as separate snapshots, because their maps must not be
// mixed.
func findSnapshot(sns []view.Snapshot, ho Holding) (int, bool) {
	at := slices.IndexFunc(sns, func(sn view.Snapshot) bool {
		return sn.Version == ho.Version && sn.Shards() == ho.Shards
	})
	return at, at >= 0
}

func (mp *Maps) addHolding(id view.ServerID, ho Holding) {
	sns := slices.Clone(mp.registers[ho.Key].Snapshots)
	at, ok := findSnapshot(sns, ho)
	if !ok {
		at, _ = slices.BinarySearchFunc(sns, ho.Version, func(sn view.Snapshot, version uint64) int {
			if sn.Version > version {
				return -1
			}
			return 1
		})
		sns = slices.Insert(sns, at, view.Snapshot{Version: ho.Version, Replicas: make([][]view.ServerID, ho.Shards)})
	}
	replicas := slices.Clone(sns[at].Replicas)
	for _, shard := range ho.Held {
		if shard >= 0 && shard < len(replicas) {
			replicas[shard] = append(slices.Clip(replicas[shard]), id)
		}
	}
	sns[at].Replicas = replicas
	mp.registers[ho.Key] = view.Register{Snapshots: sns}
}

func (mp *Maps) removeHolding(id view.ServerID, ho Holding) {
	sns := slices.Clone(mp.registers[ho.Key].Snapshots)
	at, ok := findSnapshot(sns, ho)
	if !ok {
		return
	}
	replicas := slices.Clone(sns[at].Replicas)
	for _, shard := range ho.Held {
		if shard >= 0 && shard < len(replicas) {
			replicas[shard] = without(replicas[shard], id)
		}
	}
	sns[at].Replicas = replicas
	if !slices.ContainsFunc(replicas, func(ids []view.ServerID) bool { return len(ids) > 0 }) {
		sns = slices.Delete(sns, at, at+1)
	}
	if len(sns) == 0 {
		delete(mp.registers, ho.Key)
		return
	}
	mp.registers[ho.Key] = view.Register{Snapshots: sns}
}

func without(ids []view.ServerID, id view.ServerID) []view.ServerID {
	return slices.DeleteFunc(slices.Clone(ids), func(other view.ServerID) bool { return other == id })
}
