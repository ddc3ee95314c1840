// Package merge joins the hits of many shards into one ordered, bounded list
// that shows each member once.
//
// # Usage
//
//	mg := merge.New(merge.Config{Limit: 50})
//	mg.Add(hits, more)
//	found, truncated := mg.Result()
//
// Hits are ordered by key, then member. Of a member that came more than once the
// first in that order stays: while a register is repartitioned a member can
// stand on two shards, under another key on each. The list is the same in
// whatever order the shards answer. Memory is bounded by twice the limit, not by
// what the shards send.
package merge

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Hit is one member found, in the form in which it also crosses the wire.
type Hit struct {
	Member string          `json:"member"`
	Key    string          `json:"key,omitempty"`
	Fields json.RawMessage `json:"fields,omitempty"`
}

// Config bounds a merger.
type Config struct {
	// Limit is the most hits kept.
	Limit int
}

// Merger collects hits of one search under one snapshot.
type Merger struct {
	cfg  Config
	hits []Hit
	// full is set once the first Limit hits are ordered and distinct: only a
	// hit that goes before the last of them can matter.
	full      bool
	truncated bool
}

// New makes an empty merger.
func New(cfg Config) *Merger {
	mg := Make(cfg)
	return &mg
}

// Make is New for a Merger held by value.
func Make(cfg Config) Merger {
	return Merger{cfg: cfg}
}

// Add takes the hits of one shard. More tells that the shard had others beyond
// its own limit.
func (mg *Merger) Add(hits []Hit, more bool) {
	if more {
		mg.truncated = true
	}
	for _, hi := range hits {
		mg.add(hi)
	}
}

func (mg *Merger) add(hi Hit) {
	if mg.cfg.Limit <= 0 {
		mg.truncated = true
		return
	}
	if mg.full && compare(hi, mg.hits[mg.cfg.Limit-1]) >= 0 {
		mg.leaveOut(hi)
		return
	}
	mg.hits = append(mg.hits, hi)
	// Ordering at twice the limit keeps memory bounded at the cost of one
	// sort for each limit's worth of hits.
	if len(mg.hits) >= 2*mg.cfg.Limit {
		mg.compact()
	}
}

// leaveOut drops a hit that comes after a full list. Only a member that is not
// shown already makes the list a truncated one.
func (mg *Merger) leaveOut(hi Hit) {
	if mg.truncated {
		return
	}
	for i := range mg.hits {
		if mg.hits[i].Member == hi.Member {
			return
		}
	}
	mg.truncated = true
}

// Result returns the hits in order and whether any were left out.
func (mg *Merger) Result() ([]Hit, bool) {
	mg.compact()
	return mg.hits, mg.truncated
}

func (mg *Merger) compact() {
	if len(mg.hits) > 1 {
		slices.SortFunc(mg.hits, compare)
		mg.hits = distinct(mg.hits)
	}
	if len(mg.hits) > mg.cfg.Limit {
		clear(mg.hits[mg.cfg.Limit:])
		mg.hits = mg.hits[:mg.cfg.Limit]
		mg.truncated = true
	}
	mg.full = len(mg.hits) == mg.cfg.Limit && mg.cfg.Limit > 0
}

// fewHits is the number up to which comparing each with each is cheaper than a
// map.
const fewHits = 16

// distinct keeps the first hit of each member.
func distinct(hits []Hit) []Hit {
	if len(hits) <= fewHits {
		return distinctFew(hits)
	}
	seen := make(map[string]struct{}, len(hits))
	return slices.DeleteFunc(hits, func(hi Hit) bool {
		_, double := seen[hi.Member]
		seen[hi.Member] = struct{}{}
		return double
	})
}

func distinctFew(hits []Hit) []Hit {
	kept := hits[:0]
	for _, hi := range hits {
		if !holds(kept, hi.Member) {
			kept = append(kept, hi)
		}
	}
	clear(hits[len(kept):])
	return kept
}

func holds(hits []Hit, member string) bool {
	for i := range hits {
		if hits[i].Member == member {
			return true
		}
	}
	return false
}

func compare(a, b Hit) int {
	if c := cmp.Compare(a.Key, b.Key); c != 0 {
		return c
	}
	return cmp.Compare(a.Member, b.Member)
}
