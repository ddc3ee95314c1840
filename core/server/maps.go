package server

import (
	"maps"
	"slices"

	"laburnumvane/core/view"
)

// Holding is the part of one snapshot of one register that a server holds.
type Holding struct {
	Key     view.RegisterKey
	Version uint64
	// Shards is the number of shards in that snapshot's map.
	Shards int
	// Held lists the shards in ascending order.
	Held []int
}

func (ho Holding) same(other Holding) bool {
	return ho.names(other) && ho.Shards == other.Shards && slices.Equal(ho.Held, other.Held)
}

func (ho Holding) names(other Holding) bool {
	return ho.Key == other.Key && ho.Version == other.Version
}

// Maps keeps the shard maps of all registers. A change of one server copies
// only the lists of the shards that it holds, so that searches keep the maps
// that they began with.
type Maps struct {
	// Live tells which servers may take work.
	live      func(view.ServerID) bool
	byServer  map[view.ServerID][]Holding
	registers map[view.RegisterKey]view.Register
	changed   bool
}

// NewMaps makes empty maps. Live tells which servers may take work.
func NewMaps(live func(view.ServerID) bool) *Maps {
	return &Maps{
		live:      live,
		byServer:  make(map[view.ServerID][]Holding),
		registers: make(map[view.RegisterKey]view.Register),
	}
}

// Set replaces what a server holds and tells whether that is news.
func (mp *Maps) Set(id view.ServerID, held []Holding) bool {
	news := false
	for _, old := range mp.byServer[id] {
		if !slices.ContainsFunc(held, old.same) {
			mp.leave(id, old)
			news = true
		}
	}
	for _, ho := range held {
		if !slices.ContainsFunc(mp.byServer[id], ho.same) {
			mp.join(id, ho)
			news = true
		}
	}
	if news {
		mp.byServer[id] = slices.Clone(held)
	}
	if len(held) == 0 {
		delete(mp.byServer, id)
	}
	mp.changed = mp.changed || news
	return news
}

// Drop takes one snapshot from a server, as after a refusal, and tells whether
// the maps had it.
func (mp *Maps) Drop(id view.ServerID, key view.RegisterKey, version uint64) bool {
	at := slices.IndexFunc(mp.byServer[id], func(ho Holding) bool {
		return ho.names(Holding{Key: key, Version: version})
	})
	if at < 0 {
		return false
	}
	mp.leave(id, mp.byServer[id][at])
	mp.byServer[id] = slices.Delete(slices.Clone(mp.byServer[id]), at, at+1)
	mp.changed = true
	return true
}

// Held is what a server holds. The caller must not change it.
func (mp *Maps) Held(id view.ServerID) []Holding {
	return mp.byServer[id]
}

// Registers returns the maps for a view, and whether they have changed since
// the last call; unchanged ones are not returned again.
func (mp *Maps) Registers() (map[view.RegisterKey]view.Register, bool) {
	if !mp.changed {
		return nil, false
	}
	mp.changed = false
	return maps.Clone(mp.registers), true
}

// Newest is the newest version of a register that any server holds.
func (mp *Maps) Newest(key view.RegisterKey) uint64 {
	if sns := mp.registers[key].Snapshots; len(sns) > 0 {
		return sns[0].Version
	}
	return 0
}

// Last tells whether a server is the only live replica of some shard in the
// newest snapshot that it holds of a register.
func (mp *Maps) Last(id view.ServerID) bool {
	for _, ho := range mp.byServer[id] {
		sn, ok := mp.snapshot(ho)
		if ok && mp.alone(id, ho, sn) {
			return true
		}
	}
	return false
}

func (mp *Maps) alone(id view.ServerID, ho Holding, sn view.Snapshot) bool {
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
	at, ok := find(sns, ho)
	if !ok {
		return view.Snapshot{}, false
	}
	return sns[at], true
}

// find looks for a holding's snapshot. Two servers that claim different shard
// counts for one version are kept apart, for their maps must not mix.
func find(sns []view.Snapshot, ho Holding) (int, bool) {
	at := slices.IndexFunc(sns, func(sn view.Snapshot) bool {
		return sn.Version == ho.Version && sn.Shards() == ho.Shards
	})
	return at, at >= 0
}

func (mp *Maps) join(id view.ServerID, ho Holding) {
	sns := slices.Clone(mp.registers[ho.Key].Snapshots)
	at, ok := find(sns, ho)
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

func (mp *Maps) leave(id view.ServerID, ho Holding) {
	sns := slices.Clone(mp.registers[ho.Key].Snapshots)
	at, ok := find(sns, ho)
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
