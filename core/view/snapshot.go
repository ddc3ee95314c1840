package view

// Snapshot is one version of a register with its own shard map.
type Snapshot struct {
	Version uint64
	// Replicas lists the servers that hold each shard. Its length is the number of shards, by which
	// coverage is divided.
	Replicas [][]ServerID
}

// Shards returns the number of shards in the snapshot's map.
func (sn Snapshot) Shards() int {
	return len(sn.Replicas)
}

// typicalSnapshots is the number of snapshots that a register rarely exceeds: those before and
// after a change, and one being rolled out.
const typicalSnapshots = 4

// Register holds the snapshots of a register, newest first.
type Register struct {
	Snapshots []Snapshot
}

// Pin returns the snapshot that a new search should use: the newest one whose minimum number of
// live replicas over its shards is at least half of the highest such minimum of any snapshot.
// Otherwise, during the rollout of a new snapshot, its first holders would get the whole load of
// their shards and shed it. If no snapshot covers all shards, Pin returns the one that covers the
// largest share of its shards, so that the search still gets a partial result. It returns false if
// the register has no snapshots.
func (rg Register) Pin(live func(ServerID) bool) (Snapshot, bool) {
	var buf [typicalSnapshots]int
	counts := buf[:0]
	highest := 0
	for _, sn := range rg.Snapshots {
		counts = append(counts, sn.minLiveReplicas(live))
		highest = max(highest, counts[len(counts)-1])
	}
	if highest == 0 {
		return rg.bestCovered(live)
	}
	for i, sn := range rg.Snapshots {
		if 2*counts[i] >= highest {
			return sn, true
		}
	}
	return Snapshot{}, false
}

// bestCovered returns the snapshot that covers the largest share of its shards, the newest of
// equals.
func (rg Register) bestCovered(live func(ServerID) bool) (Snapshot, bool) {
	best := -1
	bestShare := -1.0
	for i, sn := range rg.Snapshots {
		if share := sn.coverage(live); share > bestShare {
			best, bestShare = i, share
		}
	}
	if best < 0 {
		return Snapshot{}, false
	}
	return rg.Snapshots[best], true
}

// NewerComplete returns the newest snapshot that covers all its shards, if its version is higher
// than version.
func (rg Register) NewerComplete(version uint64, live func(ServerID) bool) (Snapshot, bool) {
	for _, sn := range rg.Snapshots {
		if sn.Version <= version {
			return Snapshot{}, false
		}
		if sn.coverage(live) == 1 {
			return sn, true
		}
	}
	return Snapshot{}, false
}

func (sn Snapshot) coverage(live func(ServerID) bool) float64 {
	if len(sn.Replicas) == 0 {
		return 0
	}
	covered := 0
	for _, servers := range sn.Replicas {
		if anyLive(servers, live) {
			covered++
		}
	}
	return float64(covered) / float64(len(sn.Replicas))
}

// minLiveReplicas returns the number of live replicas of the shard with the fewest.
func (sn Snapshot) minLiveReplicas(live func(ServerID) bool) int {
	fewest := 0
	for i, servers := range sn.Replicas {
		count := 0
		for _, id := range servers {
			if live(id) {
				count++
			}
		}
		if i == 0 || count < fewest {
			fewest = count
		}
	}
	return fewest
}

func anyLive(servers []ServerID, live func(ServerID) bool) bool {
	for _, id := range servers {
		if live(id) {
			return true
		}
	}
	return false
}
