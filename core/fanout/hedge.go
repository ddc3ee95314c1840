package fanout

const (
	// wideFanout is the largest number of shards whose hedges are not limited. If clients return
	// at once after an outage, all servers are slow, and requests over 36 shards had ten hedges
	// each: a third more load for servers that were already full.
	wideFanout = 24
	// hedgeDivisor gives the limit as a part of the shards. Requests over 36 shards usually have
	// two hedges, so that four leave room for several slow servers.
	hedgeDivisor = 8
)

// MaxHedges returns the Config.MaxHedges of a request over a number of shards.
func MaxHedges(shards int) int {
	if shards <= wideFanout {
		return 0
	}
	return shards / hedgeDivisor
}

// hasMaxHedges reports whether no further shard may have a hedge now.
func (mc *Machine) hasMaxHedges() bool {
	if mc.cfg.MaxHedges == 0 {
		return false
	}
	open := 0
	for i := range mc.shards {
		if mc.shards[i].open > 1 {
			open++
		}
	}
	return open >= mc.cfg.MaxHedges
}
