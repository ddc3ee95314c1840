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

// Register is a register's snapshots, newest first.
type Register struct {
	Snapshots []Snapshot
}

// Pin returns the snapshot that a new search asks for: the newest that has a
// live replica on every shard. Where no snapshot is whole it returns the one
// that covers the largest share, so that a caller still gets what there is.
func (rg Register) Pin(live func(ServerID) bool) (Snapshot, bool) {
	best := -1
	bestShare := -1.0
	for i, sn := range rg.Snapshots {
		share := sn.liveShare(live)
		if share == 1 {
			return sn, true
		}
		if share > bestShare {
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

func anyLive(servers []ServerID, live func(ServerID) bool) bool {
	for _, id := range servers {
		if live(id) {
			return true
		}
	}
	return false
}
