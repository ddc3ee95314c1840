package main

// failureTable is what each loss does to messages, connections and coverage.
func failureTable(sl *slopes) Table {
	perNode := connsPerNode()
	news := sl.of("memberBytesChurn") - sl.of("memberBytes")
	return Table{
		Name: "failures",
		Head: []string{"what", "messages", "connections", "searches and coverage"},
		Rows: [][]string{
			{
				"one VM replaced (each " + num(1/bootsPerSecond) + " s)",
				num(news) + " B of news to each node, spread over its heartbeats",
				whole(perNode) + " opened by it, over " + num(perNode/fillsPerSecond) + " s; each server gets " +
					num(replacementsPerDay*perNode/servers) + " new ones a day",
				"planned: none lost; killed: the " + whole(searchesPerNode*inFlight) + " searches in flight at the most, whose callers ask again",
			},
			{
				"a rack: " + whole(rackNodes) + " nodes, " + whole(rackServers) + " servers",
				whole(rackNodes) + " deaths: " + num(rackNodes*news/kibi) + " KB of news to each node at the most, " + num(rackNodes*news/maxControlBytes) + " s of all its bytes",
				whole(rackNodes*perNode) + " freed, divided anew among the rest, " + num(rackNodes*perNode/(nodesPerCentre-rackNodes)) + " a node",
				num(100*rackServers/serversPerCentre) + "% of sub-requests go to another replica, of the 10% that retries may take; the rest of the VMs get " +
					num(100*rackNodes/(nodesPerCentre-rackNodes)) + "% more searches",
			},
			{
				"a data centre: " + whole(nodesPerCentre) + " nodes",
				"the relays of the other " + whole(dataCentres-1) + " find it silent; one sign, no news of single VMs",
				"none elsewhere: servers belong to their data centre",
				"the others get " + num(100.0/(dataCentres-1)) + "% more searches where callers go over to them; coverage there as before",
			},
			{
				"regions apart for " + whole(partitionMins) + " minutes",
				whole(partitionMins*60*changesPerSecond) + " changes wait on the far side; " +
					num(partitionMins*60*changesPerSecond*sl.of("messageDeflated")/kibi) + " KB at most to each node when it heals, " +
					num(partitionMins*60*changesPerSecond*sl.of("messageDeflated")/maxControlBytes) + " s of all its bytes",
				"none",
				"searches go on on both sides; team limits fall back to the last shares",
			},
		},
	}
}

// fillsPerSecond is how many connections a node opens without demand:
// fillsPerTick of io/upst, at each tick of its keeper.
const (
	ticksPerSecond = 4
	fillsPerSecond = 16 * ticksPerSecond
)

// connsPerNode is a node's part where servers allow the least.
func connsPerNode() float64 {
	return serversPerCentre * usableOf(leastConnLimit) / nodesPerCentre
}
