// Package cover selects the other data centres from which a request over many shards gets the
// parts that its own data centre has no healthy server for.
//
// # Usage
//
//	var pl cover.Planner
//	for shard := range shards {
//		pl.AddShard(shard, dataCentres)
//	}
//	chosen := pl.Choose(5, rnd.Float64)
//	dataCentre, ok := chosen[shard]
//
// # Why
//
// The parts from one data centre are sent as one joined answer, which takes a quarter of the
// bytes of single ones, but only if there are enough of them to justify the additional hop. If
// the data centre is drawn for each shard separately, two dozen remote parts are spread over six
// data centres, four each, and hardly any are joined. Selecting the data centres with the most
// shards needs only three of them.
//
// Selection is greedy: the largest group first, then the largest among the remaining shards.
// Sizes are randomised within a bound, so that the VMs of one data centre do not all send their
// requests to the same other one.
package cover

import "sort"

// sizeNoise is the largest share by which a data centre's size is randomly raised, so that data
// centres of similar size are selected in turn.
const sizeNoise = 0.5

// Planner collects the needed shards of one request; the zero value is ready to use. It is not
// safe for concurrent use.
type Planner struct {
	// byDataCentre lists the shards that each data centre has a healthy server for.
	byDataCentre map[string][]int
}

// AddShard adds a shard that has no healthy server in this data centre, with the data centres that
// have one. Duplicates count once.
func (pl *Planner) AddShard(shard int, dataCentres []string) {
	if pl.byDataCentre == nil {
		pl.byDataCentre = make(map[string][]int)
	}
	for _, dataCentre := range dataCentres {
		shards := pl.byDataCentre[dataCentre]
		if n := len(shards); n > 0 && shards[n-1] == shard {
			continue
		}
		pl.byDataCentre[dataCentre] = append(shards, shard)
	}
}

// Choose assigns shards to data centres in groups of at least the given size. Shards that fit no
// such group are not assigned. Draw returns uniform random numbers in [0, 1).
func (pl *Planner) Choose(minSize int, draw func() float64) map[int]string {
	dataCentres := make([]string, 0, len(pl.byDataCentre))
	for dataCentre := range pl.byDataCentre {
		dataCentres = append(dataCentres, dataCentre)
	}
	// The iteration order of a map would make equal draws give different results.
	sort.Strings(dataCentres)
	chosen := make(map[int]string)
	for {
		best, size := "", 0.0
		for _, dataCentre := range dataCentres {
			unassigned := countUnassigned(pl.byDataCentre[dataCentre], chosen)
			if weight := float64(unassigned) * (1 + sizeNoise*draw()); unassigned >= minSize && weight > size {
				best, size = dataCentre, weight
			}
		}
		if best == "" {
			return chosen
		}
		for _, shard := range pl.byDataCentre[best] {
			if _, done := chosen[shard]; !done {
				chosen[shard] = best
			}
		}
	}
}

// countUnassigned returns how many of the shards are not assigned yet.
func countUnassigned(shards []int, chosen map[int]string) int {
	unassigned := 0
	for _, shard := range shards {
		if _, done := chosen[shard]; !done {
			unassigned++
		}
	}
	return unassigned
}
