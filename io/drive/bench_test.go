package drive_test

import (
	"context"
	"fmt"
	"testing"

	"laburnumvane/io/wire"
)

// BenchmarkSearch measures the whole cost of a search on this VM except HTTP on both sides:
// in-memory upstreams answer at once.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{10, 270} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
			fx := newFixture(b, fixtureConfig{shards: shards, workers: 4096, up: up, search: kiosk()})
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				if an := fx.dr.Search(ctx, searchRequest()); an.Outcome != wire.OutcomeComplete {
					b.Fatal(an.Outcome, an.Reason)
				}
			}
			perShard := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / float64(shards)
			b.ReportMetric(perShard, "ns/shard")
		})
	}
}
