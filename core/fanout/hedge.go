package fanout

const (
	// wideFanout is the largest number of shards whose hedges are not limited. If clients return
	// at once after an outage, all servers are slow, and requests over 36 shards had ten hedges
	// each: a third more load for servers that were already full.
	wideFanout = 24
	// hedgeDivisor gives the limit as a part of the shards. Requests over 36 shards usually have
	// two hedges, so that four leave room for several slow servers.
	hedgeDivisor = 8
	// lateFactor is how many times MaxHedges shards have to be late for the limit to apply: a
	// quarter of all shards.
	lateFactor = 2
)

// MaxHedges returns the Config.MaxHedges of a request over a number of shards.
func MaxHedges(shards int) int {
	if shards <= wideFanout {
		return 0
	}
	return shards / hedgeDivisor
}

// hasMaxHedges reports whether no further shard may have a hedge now. Only if many shards are late
// together is the cause the load of all servers; otherwise it is the individual servers, for which
// hedges are meant.
func (mc *Machine) hasMaxHedges() bool {
	if mc.cfg.MaxHedges == 0 {
		return false
	}
	late, hedged := 0, 0
	for i := range mc.shards {
		sh := &mc.shards[i]
		if !sh.late || sh.failed || sh.winner != none {
			continue
		}
		late++
		if sh.open > 1 {
			hedged++
		}
	}
	return late > lateFactor*mc.cfg.MaxHedges && hedged >= mc.cfg.MaxHedges
}
