package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumvane/core/pick"
	"laburnumvane/core/view"
)

// shardsOf returns shards, each with replicas on random servers.
func shardsOf(servers, replicas int, rnd *rand.Rand) [][]view.ServerID {
	shards := make([][]view.ServerID, 4096)
	for i := range shards {
		for range replicas {
			shards[i] = append(shards[i], view.ServerID(rnd.IntN(servers)))
		}
	}
	return shards
}

// The cost of one pick and the two updates around it, for registers of several sizes. The shards
// are random, so that the memory of all servers is accessed.
func BenchmarkPick(b *testing.B) {
	for _, bc := range []struct{ servers, replicas int }{{10, 3}, {1000, 3}, {32_000, 3}, {32_000, 16}, {32_000, 100}} {
		b.Run(fmt.Sprintf("servers=%d/replicas=%d", bc.servers, bc.replicas), func(b *testing.B) {
			list := make([]view.Server, bc.servers)
			for i := range list {
				list[i] = view.Server{ID: view.ServerID(i), DataCentre: []string{"east", "west", "north"}[i%3], State: view.StateServing}
			}
			fx := newFixture(list...)
			for i := range list {
				fx.end(view.ServerID(i), 1, pick.Replied, time.Duration(1+fx.rnd.IntN(9))*ms)
			}
			shards := shardsOf(bc.servers, bc.replicas, fx.rnd)
			ch := fx.tb.Chooser(0, &fx.vw, fx.rnd)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				id, ok := ch.Pick(shards[i&4095], nil)
				if !ok {
					b.Fatal("none")
				}
				fx.tb.Begin(id)
				fx.tb.End(0, id, pick.Replied, ms)
				i++
			}
		})
	}
}
