package view_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/view"
)

// replicas returns a shard map with the given number of servers for each shard; server ids start
// from 0 for each shard.
func replicas(counts ...int) [][]view.ServerID {
	out := make([][]view.ServerID, len(counts))
	for i, n := range counts {
		for id := range n {
			out[i] = append(out[i], view.ServerID(id))
		}
	}
	return out
}

func TestRegisterPin(t *testing.T) {
	tests := []struct {
		name string
		new  [][]view.ServerID
		old  [][]view.ServerID
		// dead is the lowest id of the servers that are not live.
		dead view.ServerID
		want uint64
	}{
		{"both fully replicated", replicas(3, 3), replicas(3, 3), 9, 8},
		{"rollout has begun: one replica would get all the load", replicas(3, 1), replicas(3, 3), 9, 7},
		{"rollout is more than half done", replicas(2, 3), replicas(3, 3), 9, 8},
		{"the old one is being removed", replicas(2, 2), replicas(1, 1), 9, 8},
		{"the new one lacks a shard", replicas(3, 0), replicas(1, 1), 9, 7},
		{"one live replica left in both", replicas(3, 3), replicas(3, 3), 1, 8},
		{"both incomplete: the better covered", replicas(1, 0), replicas(1, 0, 1), 9, 7},
		{"both incomplete and equal: the newer", replicas(1, 0), replicas(1, 0), 9, 8},
		{"repartition", replicas(3, 3, 3), replicas(3, 3), 9, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rg := view.Register{Snapshots: []view.Snapshot{
				{Version: 8, Replicas: tt.new},
				{Version: 7, Replicas: tt.old},
			}}
			sn, ok := rg.Pin(func(id view.ServerID) bool { return id < tt.dead })
			is.True(ok)
			is.Equal(sn.Version, tt.want)
		})
	}
}

// BenchmarkPin measures the cost of Pin for each search, with two snapshots and three servers per
// shard.
func BenchmarkPin(b *testing.B) {
	for _, shards := range []int{10, 270} {
		counts := make([]int, shards)
		for i := range counts {
			counts[i] = 3
		}
		rg := view.Register{Snapshots: []view.Snapshot{
			{Version: 8, Replicas: replicas(counts...)},
			{Version: 7, Replicas: replicas(counts...)},
		}}
		b.Run(strconv.Itoa(shards), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rg.Pin(func(id view.ServerID) bool { return id < 9 })
			}
		})
	}
}

func TestRegisterPinWithoutSnapshots(t *testing.T) {
	is := is.New(t)
	_, ok := view.Register{}.Pin(func(view.ServerID) bool { return true })
	is.True(!ok)
}
