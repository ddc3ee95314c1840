package search

import (
	"laburnumvane/core/merge"
)

const (
	// maxGroups limits the versions that one search tracks: the pinned one,
	// the one before it and two newer ones. If servers answer with more versions
	// than that, no further group could become complete.
	maxGroups = 4
	// maxShards limits the shard count in a reply, so that a corrupt reply
	// cannot cause a large allocation.
	maxShards = 1 << 16
)

// group holds the replies of one snapshot. Groups are never combined: an answer
// made of two snapshots could contain a member twice, or not at all, if the
// member moved between shards.
type group struct {
	version  uint64
	shards   int
	received []bool
	answered int
	merger   merge.Merger
}

func newGroup(version uint64, shards, limit int) *group {
	return &group{
		version:  version,
		shards:   shards,
		received: make([]bool, shards),
		merger:   merge.Make(merge.Config{Limit: limit}),
	}
}

// add adds a reply under the group's version. It ignores a second reply of a
// shard.
func (gr *group) add(ev Event) {
	if gr.received[ev.Shard] {
		return
	}
	gr.received[ev.Shard] = true
	gr.answered++
	gr.merger.Add(ev.Hits, ev.More)
}

func (gr *group) complete() bool {
	return gr.shards > 0 && gr.answered == gr.shards
}

func (gr *group) coverage() float64 {
	if gr.shards == 0 {
		return 0
	}
	return float64(gr.answered) / float64(gr.shards)
}

// groupFor returns the group of a reply and creates it if necessary. It returns
// nil for a reply whose shard count contradicts that of its version, or whose
// shard lies outside its own map.
func (mc *Machine) groupFor(ev Event) *group {
	if ev.Shard < 0 || ev.Shard >= ev.Shards || ev.Shards > maxShards {
		return nil
	}
	for _, gr := range mc.groups {
		if gr.version != ev.Snapshot {
			continue
		}
		if gr.shards != ev.Shards {
			return nil
		}
		return gr
	}
	if len(mc.groups) >= maxGroups {
		return nil
	}
	gr := newGroup(ev.Snapshot, ev.Shards, mc.cfg.HitLimit)
	mc.groups = append(mc.groups, gr)
	return gr
}

// pin makes the group of a snapshot the pinned one. If replies stated another
// shard count than the snapshot's own map, the group and its replies are
// discarded.
func (mc *Machine) pin(version uint64, shards int) {
	for i, gr := range mc.groups {
		if gr.version != version {
			continue
		}
		if gr.shards != shards {
			mc.groups[i] = newGroup(version, shards, mc.cfg.HitLimit)
		}
		mc.pinned = mc.groups[i]
		return
	}
	mc.pinned = newGroup(version, shards, mc.cfg.HitLimit)
	mc.groups = append(mc.groups, mc.pinned)
}

// best returns the group with the highest coverage; the pinned one on a tie.
func (mc *Machine) best() *group {
	best := mc.pinned
	for _, gr := range mc.groups {
		if gr.coverage() > best.coverage() {
			best = gr
		}
	}
	return best
}
