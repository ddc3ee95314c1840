package search

import (
	"laburnumvane/core/merge"
)

const (
	// maxGroups bounds the versions followed by one search: the pinned one,
	// the one before and two newer. A fleet that answers more is in no state
	// in which another group could become whole.
	maxGroups = 4
	// maxShards bounds the shard count that a reply may claim, so that a
	// garbled reply cannot claim memory.
	maxShards = 1 << 16
)

// group is the replies of one snapshot. Groups never mix: an answer made of two
// snapshots could show a member twice or not at all while it moves.
type group struct {
	version  uint64
	shards   int
	got      []bool
	answered int
	merger   merge.Merger
}

func newGroup(version uint64, shards, limit int) *group {
	return &group{
		version: version,
		shards:  shards,
		got:     make([]bool, shards),
		merger:  merge.Make(merge.Config{Limit: limit}),
	}
}

// add takes a reply under the group's version, unless the shard has one.
func (gr *group) add(ev Event) {
	if gr.got[ev.Shard] {
		return
	}
	gr.got[ev.Shard] = true
	gr.answered++
	gr.merger.Add(ev.Hits, ev.More)
}

func (gr *group) whole() bool {
	return gr.shards > 0 && gr.answered == gr.shards
}

func (gr *group) share() float64 {
	if gr.shards == 0 {
		return 0
	}
	return float64(gr.answered) / float64(gr.shards)
}

// groupFor finds or makes the group of a reply. It returns nil for a reply that
// contradicts what is known of its version or lies outside its own map.
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

// pin makes the group of a snapshot the one that the search works for. What
// replies said of its shard count gives way to the snapshot's own map.
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

// best is the group with the largest share; the pinned one on a tie.
func (mc *Machine) best() *group {
	best := mc.pinned
	for _, gr := range mc.groups {
		if gr.share() > best.share() {
			best = gr
		}
	}
	return best
}
