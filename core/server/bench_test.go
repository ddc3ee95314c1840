package server_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
)

var sizes = []int{10, 1_000, 32_000}

// The cost of one step: for replies, for a failure, and for a change of state.
func BenchmarkStep(b *testing.B) {
	events := []struct {
		name string
		of   func(i int) server.Event
	}{
		{"reply", func(int) server.Event { return good(1, 1) }},
		{"failure", func(int) server.Event { return fail(1) }},
		{"change", func(i int) server.Event { return good(uint64(i), 1) }},
	}
	for _, n := range sizes {
		for _, ev := range events {
			b.Run(fmt.Sprintf("%s/servers=%d", ev.name, n), func(b *testing.B) {
				tb := server.New(server.Config{Rand: rand.New(rand.NewPCG(1, 1))})
				for id := range n {
					tb.Add(view.ServerID(id), fmt.Sprint("10.0.0.7:", id))
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now := time.Duration(i) * time.Microsecond
					tb.Step(now, view.ServerID(i%n), ev.of(i/n+1))
					tb.Wake(now)
				}
			})
		}
	}
}

// The cost of changing one server's holdings in a register of 270 shards: by an incremental update,
// and by rebuilding all maps for comparison. Each server holds one shard.
func BenchmarkMaps(b *testing.B) {
	const shards = 270
	holding := func(id, version int) []server.Holding {
		return []server.Holding{{Key: members, Version: uint64(version), Shards: shards, Held: []int{id % shards}}}
	}
	for _, n := range sizes {
		mp := server.NewMaps(func(view.ServerID) bool { return true })
		all := map[view.ServerID][]server.Holding{}
		for id := range n {
			mp.Set(view.ServerID(id), holding(id, 1))
			all[view.ServerID(id)] = holding(id, 1)
		}
		b.Run(fmt.Sprintf("step/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				id := i % n
				mp.Set(view.ServerID(id), holding(id, 1+(i/n+1)%2))
				mp.Registers()
			}
		})
		b.Run(fmt.Sprintf("rebuild/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				id := i % n
				all[view.ServerID(id)] = holding(id, 1+(i/n+1)%2)
				rebuild(all)
			}
		})
	}
}
