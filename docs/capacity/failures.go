package main

// failureTable returns the effects of each failure on messages, connections and coverage.
func failureTable(sl *slopeList) Table {
	perNode := connsPerNode()
	news := sl.value("memberBytesChurn") - sl.value("memberBytes")
	return Table{
		Name: "failures",
		Head: []string{"what", "messages", "connections", "searches and coverage"},
		Rows: [][]string{
			{
				"one VM replaced (each " + formatNumber(1/bootsPerSecond) + " s)",
				formatNumber(news) + " B of news to each node, spread over its heartbeats",
				formatWhole(perNode) + " opened by it, over " + formatNumber(perNode/connsOpenedPerSecond) + " s; each server gets " +
					formatNumber(replacementsPerDay*perNode/servers) + " new ones a day",
				"planned: none lost; killed: the " + formatWhole(searchesPerNode*searchSeconds) + " searches in flight at the most, whose callers ask again",
			},
			{
				"a rack: " + formatWhole(rackNodes) + " nodes, " + formatWhole(rackServers) + " servers",
				formatWhole(rackNodes) + " deaths: " + formatNumber(rackNodes*news/kibi) + " KB of news to each node at the most, " + formatNumber(rackNodes*news/maxControlBytes) + " s of all its bytes",
				formatWhole(rackNodes*perNode) + " freed, divided anew among the rest, " + formatNumber(rackNodes*perNode/(nodesPerCentre-rackNodes)) + " a node",
				formatNumber(100*rackServers/serversPerCentre) + "% of sub-requests go to another replica, of the 10% that retries may take; the rest of the VMs get " +
					formatNumber(100*rackNodes/(nodesPerCentre-rackNodes)) + "% more searches",
			},
			{
				"a data centre: " + formatWhole(nodesPerCentre) + " nodes",
				"the relays of the other " + formatWhole(dataCentres-1) + " find it silent; one sign, no news of single VMs",
				"none elsewhere: servers belong to their data centre",
				"the others get " + formatNumber(100.0/(dataCentres-1)) + "% more searches where callers go over to them; coverage there as before",
			},
			{
				"regions apart for " + formatWhole(partitionMins) + " minutes",
				formatWhole(partitionMins*60*changesPerSecond) + " changes wait on the far side; " +
					formatNumber(partitionMins*60*changesPerSecond*sl.value("messageDeflated")/kibi) + " KB at most to each node when it heals, " +
					formatNumber(partitionMins*60*changesPerSecond*sl.value("messageDeflated")/maxControlBytes) + " s of all its bytes",
				"none",
				"searches go on on both sides; team limits fall back to the last shares",
			},
		},
	}
}

// connsOpenedPerSecond is the number of connections that a node opens per second without demand:
// fillsPerTick of io/upst at each tick.
const (
	ticksPerSecond       = 4
	connsOpenedPerSecond = 16 * ticksPerSecond
)

// connsPerNode returns the number of connections of a node if all servers have the lowest limit.
func connsPerNode() float64 {
	return serversPerCentre * usableConns(leastConnLimit) / nodesPerCentre
}
