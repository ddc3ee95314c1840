// Package cover chooses from which other data centres a request over many shards
// gets the parts that its own has no sound server for.
//
// # Usage
//
//	var pl cover.Planner
//	for shard := range shards {
//		pl.Need(shard, places)
//	}
//	chosen := pl.Choose(5, rnd.Float64)
//	place, ok := chosen[shard]
//
// # Why
//
// The parts of one data centre come as one joined answer, which is a quarter of the
// bytes of single ones, but only where there are enough of them to be worth the hop.
// Drawn shard by shard, two dozen far parts fall on six data centres, four in each,
// and hardly any are joined. Taken where most are together, they fall on three.
//
// The largest group goes first, then the largest of what is left. The sizes are drawn
// within a bound, so that the VMs of a data centre do not all lean on the same other
// one.
package cover

import "sort"

// spread is the share by which a data centre's count is raised at most when the
// largest is chosen: those of about the same size take turns.
const spread = 0.5

// Planner gathers what is needed; the zero value is ready. It serves one request and
// is not safe for concurrent use.
type Planner struct {
	// byPlace lists the shards that each data centre could serve.
	byPlace map[string][]int
}

// Need tells which data centres have a sound server of a shard that has none here.
// One that is named twice counts once.
func (pl *Planner) Need(shard int, places []string) {
	if pl.byPlace == nil {
		pl.byPlace = make(map[string][]int)
	}
	for _, place := range places {
		shards := pl.byPlace[place]
		if n := len(shards); n > 0 && shards[n-1] == shard {
			continue
		}
		pl.byPlace[place] = append(shards, shard)
	}
}

// Choose assigns shards to data centres in groups of at least so many. A shard that
// fits no such group is not assigned. The draw is uniform within 0 to 1.
func (pl *Planner) Choose(least int, draw func() float64) map[int]string {
	places := make([]string, 0, len(pl.byPlace))
	for place := range pl.byPlace {
		places = append(places, place)
	}
	// The order of a map would make equal draws choose differently.
	sort.Strings(places)
	chosen := make(map[int]string)
	for {
		best, size := "", 0.0
		for _, place := range places {
			left := count(pl.byPlace[place], chosen)
			if weighed := float64(left) * (1 + spread*draw()); left >= least && weighed > size {
				best, size = place, weighed
			}
		}
		if best == "" {
			return chosen
		}
		for _, shard := range pl.byPlace[best] {
			if _, done := chosen[shard]; !done {
				chosen[shard] = best
			}
		}
	}
}

// count is how many shards are not assigned yet.
func count(shards []int, chosen map[int]string) int {
	left := 0
	for _, shard := range shards {
		if _, done := chosen[shard]; !done {
			left++
		}
	}
	return left
}
