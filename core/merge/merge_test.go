package merge_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/merge"
)

func TestMerger(t *testing.T) {
	tests := []struct {
		name      string
		limit     int
		shards    [][]merge.Hit
		more      bool
		want      string
		truncated bool
	}{
		{name: "none", limit: 3},
		{name: "orderedByKey", limit: 3, shards: [][]merge.Hit{{hit("c", "3"), hit("a", "1")}, {hit("b", "2")}}, want: "a1 b2 c3"},
		{name: "sameMemberTwice", limit: 3, shards: [][]merge.Hit{{hit("a", "1")}, {hit("a", "1")}}, want: "a1"},
		{name: "sameMemberOtherKey", limit: 3, shards: [][]merge.Hit{{hit("a", "9")}, {hit("b", "5")}, {hit("a", "1")}}, want: "a1 b5"},
		{name: "beyondLimit", limit: 1, shards: [][]merge.Hit{{hit("a", "1"), hit("b", "2")}}, want: "a1", truncated: true},
		{name: "onlyADuplicateBeyondLimit", limit: 1, shards: [][]merge.Hit{{hit("a", "1"), hit("a", "1")}, {hit("a", "9")}}, want: "a1"},
		{name: "shardHadMore", limit: 3, shards: [][]merge.Hit{{hit("a", "1")}}, more: true, want: "a1", truncated: true},
		{name: "limitZero", limit: 0, shards: [][]merge.Hit{{hit("a", "1")}}, truncated: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			mg := merge.New(merge.Config{Limit: tt.limit})
			for _, hits := range tt.shards {
				mg.Add(hits, tt.more)
			}
			got, truncated := mg.Result()
			is.Equal(text(got), tt.want)
			is.Equal(truncated, tt.truncated)
		})
	}
}

// The result has the first Limit members of all hits, and truncated reports exactly whether there
// were others, however few hits are kept in between and in whatever order the shards answer.
func TestMergerKeepsFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 30).Draw(rt, "limit")
		hits := rapid.SliceOf(rapid.Custom(func(rt *rapid.T) merge.Hit {
			member := rapid.IntRange(0, 40).Draw(rt, "member")
			key := rapid.IntRange(0, 40).Draw(rt, "key")
			return hit(fmt.Sprintf("m%02d", member), fmt.Sprintf("%02d", key))
		})).Draw(rt, "hits")
		mg := merge.New(merge.Config{Limit: limit})
		for part := range slices.Chunk(hits, rapid.IntRange(1, 50).Draw(rt, "perShard")) {
			mg.Add(part, false)
		}
		got, truncated := mg.Result()
		want := firstOfEach(hits)
		if truncated != (len(want) > limit) {
			rt.Fatalf("truncated is %v with %d distinct members and a limit of %d", truncated, len(want), limit)
		}
		want = want[:min(limit, len(want))]
		if text(got) != text(want) {
			rt.Fatalf("got %s, want %s", text(got), text(want))
		}
	})
}

// firstOfEach is the reference implementation, without bounds on memory.
func firstOfEach(hits []merge.Hit) []merge.Hit {
	sorted := slices.Clone(hits)
	slices.SortFunc(sorted, func(a, b merge.Hit) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Member, b.Member))
	})
	seen := map[string]bool{}
	var out []merge.Hit
	for _, hi := range sorted {
		if !seen[hi.Member] {
			seen[hi.Member] = true
			out = append(out, hi)
		}
	}
	return out
}

func hit(member, key string) merge.Hit {
	return merge.Hit{Member: member, Key: key}
}

func text(hits []merge.Hit) string {
	out := ""
	for i, hi := range hits {
		if i > 0 {
			out += " "
		}
		out += hi.Member + hi.Key
	}
	return out
}

// BenchmarkMerger measures the cost per hit: 270 shards send 100 each, 100 are kept.
func BenchmarkMerger(b *testing.B) {
	const shards, perShard = 270, 100
	parts := make([][]merge.Hit, shards)
	for i := range parts {
		for k := range perShard {
			parts[i] = append(parts[i], hit(fmt.Sprintf("m%d.%d", i, k), fmt.Sprintf("%05d", k*shards+i)))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		mg := merge.New(merge.Config{Limit: perShard})
		for _, hits := range parts {
			mg.Add(hits, true)
		}
		mg.Result()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards*perShard), "ns/hit")
}
