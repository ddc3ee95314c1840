package view

// Snapshot is one version of a register with its own shard map.
type Snapshot struct {
	Version uint64
	// Replicas lists the servers that hold each shard. Its length is the
	// number of shards, the denominator of coverage.
	Replicas [][]ServerID
}

// Shards is the number of shards in the snapshot's map.
func (sn Snapshot) Shards() int {
	return len(sn.Replicas)
}

// usualSnapshots is how many snapshots a register has at most as a rule: those
// before and after a change, and one that is coming.
const usualSnapshots = 4

// Register is a register's snapshots, newest first.
type Register struct {
	Snapshots []Snapshot
}

// Pin returns the snapshot that a new search asks for: the newest that has, on
// its worst shard, at least half as many live replicas as any snapshot has on
// its own. While a new snapshot is being rolled out its first holders would else
// get the whole load of their shards, and shed it. Where no snapshot is whole Pin
// returns the one that covers the largest share, so that a caller still gets
// what there is.
func (rg Register) Pin(live func(ServerID) bool) (Snapshot, bool) {
	var room [usualSnapshots]int
	least := room[:0]
	most := 0
	for _, sn := range rg.Snapshots {
		least = append(least, sn.leastLive(live))
		most = max(most, least[len(least)-1])
	}
	if most == 0 {
		return rg.widest(live)
	}
	for i, sn := range rg.Snapshots {
		if 2*least[i] >= most {
			return sn, true
		}
	}
	return Snapshot{}, false
}

// widest returns the snapshot that covers the largest share, the newest such.
func (rg Register) widest(live func(ServerID) bool) (Snapshot, bool) {
	best := -1
	bestShare := -1.0
	for i, sn := range rg.Snapshots {
		if share := sn.liveShare(live); share > bestShare {
			best, bestShare = i, share
		}
	}
	if best < 0 {
		return Snapshot{}, false
	}
	return rg.Snapshots[best], true
}

// Newer returns the newest whole snapshot if it is newer than version.
func (rg Register) Newer(version uint64, live func(ServerID) bool) (Snapshot, bool) {
	for _, sn := range rg.Snapshots {
		if sn.Version <= version {
			return Snapshot{}, false
		}
		if sn.liveShare(live) == 1 {
			return sn, true
		}
	}
	return Snapshot{}, false
}

func (sn Snapshot) liveShare(live func(ServerID) bool) float64 {
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

// leastLive is the number of live replicas of the shard that has the fewest.
func (sn Snapshot) leastLive(live func(ServerID) bool) int {
	least := 0
	for i, servers := range sn.Replicas {
		count := 0
		for _, id := range servers {
			if live(id) {
				count++
			}
		}
		if i == 0 || count < least {
			least = count
		}
	}
	return least
}

func anyLive(servers []ServerID, live func(ServerID) bool) bool {
	for _, id := range servers {
		if live(id) {
			return true
		}
	}
	return false
}
