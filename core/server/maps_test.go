package server_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
)

var members = view.RegisterKey{Team: "pettigrew", Register: "members"}

func drawHoldings(rt *rapid.T) []server.Holding {
	var out []server.Holding
	for version := uint64(1); version <= 4; version++ {
		if !rapid.Bool().Draw(rt, "holds") {
			continue
		}
		// The shard count changes with the version, as in a repartition.
		shards := 2 + int(version)%3
		ho := server.Holding{Key: members, Version: version, Shards: shards}
		for shard := range shards {
			if rapid.Bool().Draw(rt, "held") {
				ho.Held = append(ho.Held, shard)
			}
		}
		if len(ho.Held) > 0 {
			out = append(out, ho)
		}
	}
	return out
}

// rebuild builds the maps from scratch from all holdings, as a reference.
func rebuild(byServer map[view.ServerID][]server.Holding) view.Register {
	bySnapshot := map[uint64]view.Snapshot{}
	for id, held := range byServer {
		for _, ho := range held {
			sn, ok := bySnapshot[ho.Version]
			if !ok {
				sn = view.Snapshot{Version: ho.Version, Replicas: make([][]view.ServerID, ho.Shards)}
				bySnapshot[ho.Version] = sn
			}
			for _, shard := range ho.Held {
				sn.Replicas[shard] = append(sn.Replicas[shard], id)
			}
		}
	}
	var rg view.Register
	for version := uint64(4); version >= 1; version-- {
		if sn, ok := bySnapshot[version]; ok {
			rg.Snapshots = append(rg.Snapshots, sn)
		}
	}
	return rg
}

// normalised returns a copy with sorted lists, because their order has no meaning.
func normalised(rg view.Register) view.Register {
	var out view.Register
	for _, sn := range rg.Snapshots {
		cp := view.Snapshot{Version: sn.Version}
		for _, ids := range sn.Replicas {
			ids = slices.Clone(ids)
			slices.Sort(ids)
			if len(ids) == 0 {
				ids = nil
			}
			cp.Replicas = append(cp.Replicas, ids)
		}
		out.Snapshots = append(out.Snapshots, cp)
	}
	return out
}

// A search never uses a map that mixes snapshots: the incrementally updated maps equal those
// rebuilt from all holdings, through repartitions, dropped snapshots and removed servers, and a map
// taken by a search is never modified afterwards.
func TestMapsEqualRebuilt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		mp := server.NewMaps(func(view.ServerID) bool { return true })
		model := map[view.ServerID][]server.Holding{}
		type taken struct{ got, copied view.Register }
		var searches []taken
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			id := view.ServerID(rapid.IntRange(0, 5).Draw(rt, "id"))
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0, 1:
				held := drawHoldings(rt)
				mp.Set(id, held)
				model[id] = held
			case 2:
				version := uint64(rapid.IntRange(1, 4).Draw(rt, "version"))
				before := len(model[id])
				model[id] = slices.DeleteFunc(slices.Clone(model[id]), func(ho server.Holding) bool { return ho.Version == version })
				is.Equal(mp.Drop(id, members, version), len(model[id]) < before)
			}
			registers, changed := mp.Registers()
			if !changed {
				continue
			}
			got := registers[members]
			is.Equal(normalised(got), normalised(rebuild(model)))
			searches = append(searches, taken{got: got, copied: normalised(got)})
		}
		for _, tk := range searches {
			is.Equal(normalised(tk.got), tk.copied)
		}
	})
}

// IsLastReplica is true for the only live replica of a shard, so that it is still tried when the
// other replica is gone, and false for servers with another live replica.
func TestLastReplica(t *testing.T) {
	is := is.New(t)
	gone := map[view.ServerID]bool{}
	mp := server.NewMaps(func(id view.ServerID) bool { return !gone[id] })
	mp.Set(0, []server.Holding{{Key: members, Version: 1, Shards: 2, Held: []int{0, 1}}})
	mp.Set(1, []server.Holding{{Key: members, Version: 1, Shards: 2, Held: []int{0}}})
	is.True(mp.IsLastReplica(0))
	is.True(!mp.IsLastReplica(1))
	gone[0] = true
	is.True(mp.IsLastReplica(1))
	is.True(!mp.IsLastReplica(7))
}

// Two servers report different shard counts for one version. A search gets one map or the other,
// never a mixture.
func TestMapsKeepShardCountsApart(t *testing.T) {
	is := is.New(t)
	mp := server.NewMaps(func(view.ServerID) bool { return true })
	mp.Set(0, []server.Holding{{Key: members, Version: 1, Shards: 2, Held: []int{0, 1}}})
	mp.Set(1, []server.Holding{{Key: members, Version: 1, Shards: 4, Held: []int{0, 9}}})
	registers, _ := mp.Registers()
	is.Equal(len(registers[members].Snapshots), 2)
	for _, sn := range registers[members].Snapshots {
		for _, ids := range sn.Replicas {
			is.True(len(ids) <= 1)
		}
	}
}
