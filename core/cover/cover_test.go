package cover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/cover"
)

func half() float64 { return 0.5 }

func TestChoose(t *testing.T) {
	cases := []struct {
		name    string
		needs   [][]string
		minSize int
		chosen  map[int]string
	}{
		{"nothing needed", nil, 2, map[int]string{}},
		{"one data centre has all", [][]string{{"b", "a"}, {"b"}, {"b", "c"}}, 2, map[int]string{0: "b", 1: "b", 2: "b"}},
		{"remaining shards form a second group", [][]string{{"a"}, {"a"}, {"a", "b"}, {"b"}, {"b"}}, 2,
			map[int]string{0: "a", 1: "a", 2: "a", 3: "b", 4: "b"}},
		{"too small groups are not assigned", [][]string{{"a"}, {"a"}, {"b"}}, 2, map[int]string{0: "a", 1: "a"}},
		{"two servers in one data centre count once", [][]string{{"a", "a"}, {"b"}}, 2, map[int]string{}},
		{"no data centre has a server", [][]string{nil, nil}, 1, map[int]string{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var pl cover.Planner
			for shard, dataCentres := range tc.needs {
				pl.AddShard(shard, dataCentres)
			}
			is.Equal(pl.Choose(tc.minSize, half), tc.chosen)
		})
	}
}

// Traffic between a fleet's seven data centres is paid for. Each of 42 shards has its three
// servers in three of the seven, so 24 parts are remote. Drawn one by one they are spread over
// six data centres, and two in five end up in groups that are too small; selected together nearly
// all are joined.
func TestRemotePartsAreJoined(t *testing.T) {
	is := is.New(t)
	const shards, dataCentres, replicas, minSize, requests = 42, 7, 3, 5, 200
	rnd := rand.New(rand.NewPCG(1, 2))
	dataCentresOf := make([][]string, shards)
	for shard := range dataCentresOf {
		for _, k := range rnd.Perm(dataCentres)[:replicas] {
			dataCentresOf[shard] = append(dataCentresOf[shard], fmt.Sprint(k))
		}
	}
	remote, joinedSingle, joinedPlanned, used := 0, 0, 0, map[string]int{}
	for range requests {
		var pl cover.Planner
		drawn := map[string]int{}
		for shard, names := range dataCentresOf {
			if contains(names, "0") {
				continue
			}
			remote++
			pl.AddShard(shard, names)
			drawn[names[rnd.IntN(replicas)]]++
		}
		for _, n := range drawn {
			if n >= minSize {
				joinedSingle += n
			}
		}
		for _, dataCentre := range pl.Choose(minSize, rnd.Float64) {
			joinedPlanned++
			used[dataCentre]++
		}
	}
	// The parts that are sent singly fall from 39 to 9 of 100 remote parts.
	is.True(float64(remote-joinedPlanned) < 0.3*float64(remote-joinedSingle))
	// One data centre has 21 of the 24 shards and must not get all of them every time, so that
	// the VMs here do not all use the same servers.
	for _, n := range used {
		is.True(float64(n) < 0.45*float64(joinedPlanned))
	}
}

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}
