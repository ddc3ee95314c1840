package search

import (
	"laburnumvane/core/merge"
)

// group is the replies of one snapshot. Groups never mix: an answer made of two
// snapshots could show a member twice or not at all while it moves.
type group struct {
	version  uint64
	shards   int
	got      []bool
	answered int
	merger   *merge.Merger
}

func newGroup(version uint64, shards, limit int) *group {
	return &group{
		version: version,
		shards:  shards,
		got:     make([]bool, shards),
		merger:  merge.New(merge.Config{Limit: limit}),
	}
}

// add takes a reply; it tells whether the shard was still missing.
func (gr *group) add(ev Event) bool {
	if ev.Shard < 0 || ev.Shard >= gr.shards || ev.Shards != gr.shards {
		return false
	}
	if gr.got[ev.Shard] {
		return false
	}
	gr.got[ev.Shard] = true
	gr.answered++
	gr.merger.Add(ev.Hits, ev.More)
	return true
}

func (gr *group) share() float64 {
	if gr.shards == 0 {
		return 0
	}
	return float64(gr.answered) / float64(gr.shards)
}
