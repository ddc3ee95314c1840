// Package merge joins the ordered hits of many shards into one ordered, bounded
// list without doubles.
//
// # Usage
//
//	mg := merge.New(merge.Config{Limit: 50})
//	mg.Add(hits, more)
//	found, truncated := mg.Result()
//
// Memory is bounded by the limit, not by what the shards send.
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
	cfg       Config
	hits      []Hit
	truncated bool
}

// New makes an empty merger.
func New(cfg Config) *Merger {
	return &Merger{cfg: cfg}
}

// Add takes the hits of one shard. More tells that the shard had others beyond
// its own limit.
func (mg *Merger) Add(hits []Hit, more bool) {
	if more {
		mg.truncated = true
	}
	if len(hits) == 0 {
		return
	}
	mg.hits = append(mg.hits, hits...)
	// Sorting at twice the limit keeps memory bounded at an amortised cost of
	// one sort for each limit's worth of hits.
	if len(mg.hits) > 2*mg.cfg.Limit {
		mg.compact()
	}
}

// Result returns the hits in order and whether any were left out.
func (mg *Merger) Result() ([]Hit, bool) {
	mg.compact()
	return mg.hits, mg.truncated
}

func (mg *Merger) compact() {
	slices.SortFunc(mg.hits, compare)
	// A member can stand on two shards while it is being moved from one to
	// the other; it must not be shown twice.
	mg.hits = slices.CompactFunc(mg.hits, func(a, b Hit) bool {
		return a.Member == b.Member && a.Key == b.Key
	})
	if len(mg.hits) > mg.cfg.Limit {
		mg.hits = mg.hits[:mg.cfg.Limit]
		mg.truncated = true
	}
}

func compare(a, b Hit) int {
	if c := cmp.Compare(a.Key, b.Key); c != 0 {
		return c
	}
	return cmp.Compare(a.Member, b.Member)
}
