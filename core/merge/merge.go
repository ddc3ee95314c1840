// Package merge combines the hits of many shards into one ordered list of limited length that
// contains each member once.
//
// # Usage
//
//	mg := merge.New(merge.Config{Limit: 50})
//	mg.Add(hits, more)
//	found, truncated := mg.Result()
//
// Hits are ordered by key, then by member. Of several hits for a member the first in this order
// is kept: while a register is being repartitioned, a member can be on two shards, with different
// keys. The list does not depend on the order in which the shards answer. Memory is bounded by
// twice the limit, however many hits the shards send.
package merge

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Hit is one member found; it is also the wire format.
type Hit struct {
	Member string          `json:"member"`
	Key    string          `json:"key,omitempty"`
	Fields json.RawMessage `json:"fields,omitempty"`
}

// Config holds the parameters of a Merger.
type Config struct {
	// Limit is the maximum number of hits in the result.
	Limit int
}

// Merger collects the hits of one search on one snapshot. It is not safe for concurrent use.
type Merger struct {
	cfg  Config
	hits []Hit
	// full is set once the first Limit hits are sorted and distinct: from then on, only a hit
	// that precedes the last of them matters.
	full      bool
	truncated bool
}

// New returns an empty merger.
func New(cfg Config) *Merger {
	mg := Make(cfg)
	return &mg
}

// Make is like New, for a Merger that is held by value.
func Make(cfg Config) Merger {
	return Merger{cfg: cfg}
}

// Add adds the hits of one shard. More is set if the shard had further hits beyond its own limit.
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
		mg.skip(hi)
		return
	}
	mg.hits = append(mg.hits, hi)
	// Sorting only at twice the limit bounds the memory, at the cost of one sort per Limit hits.
	if len(mg.hits) >= 2*mg.cfg.Limit {
		mg.compact()
	}
}

// skip drops a hit that sorts after a full list. The list becomes truncated only if the hit's
// member is not in it already.
func (mg *Merger) skip(hi Hit) {
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

// maxPairwise is the number of hits up to which pairwise comparison is cheaper than a map.
const maxPairwise = 16

// distinct keeps the first hit of each member.
func distinct(hits []Hit) []Hit {
	if len(hits) <= maxPairwise {
		return distinctPairwise(hits)
	}
	seen := make(map[string]struct{}, len(hits))
	return slices.DeleteFunc(hits, func(hi Hit) bool {
		_, duplicate := seen[hi.Member]
		seen[hi.Member] = struct{}{}
		return duplicate
	})
}

func distinctPairwise(hits []Hit) []Hit {
	kept := hits[:0]
	for _, hi := range hits {
		if !containsMember(kept, hi.Member) {
			kept = append(kept, hi)
		}
	}
	clear(hits[len(kept):])
	return kept
}

func containsMember(hits []Hit, member string) bool {
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
