package main

// The size of the fleet for which the tables are computed.
const (
	nodes              = 4300
	servers            = 32000
	searchesPerSecond  = 990_000
	shardsPerSearch    = 270
	dataCentres        = 13
	changesPerDay      = 21_000
	replacementsPerDay = 7_000
	failuresPerDay     = 64
	secondsPerDay      = 86_400
)

// The budget of a node for control work.
const (
	maxControlCore  = 1.4 // percent of a core
	maxControlMB    = 64
	maxControlBytes = 8 * 1024 // a second
)

// Assumptions that no benchmark can measure.
const (
	teams         = 100
	rackNodes     = 20
	rackServers   = 40
	partitionMins = 5
	// searchSeconds is the longest time that a search takes.
	searchSeconds = 0.2
	// connsPerFanOut is the number of connections to a server that a fan-out needs for its
	// sub-requests to seldom wait for each other.
	connsPerFanOut = 2
)

// Figures derived from the size.
const (
	nodesPerCentre    = float64(nodes) / dataCentres
	serversPerCentre  = float64(servers) / dataCentres
	searchesPerNode   = float64(searchesPerSecond) / nodes
	subsPerNode       = searchesPerNode * shardsPerSearch
	subsPerServer     = float64(searchesPerSecond) * shardsPerSearch / servers
	searchesPerCentre = float64(searchesPerSecond) / dataCentres
	changesPerSecond  = float64(changesPerDay) / secondsPerDay
	bootsPerSecond    = float64(replacementsPerDay) / secondsPerDay
	replicasPerShard  = serversPerCentre / shardsPerSearch
)

// leastConnLimit is the lowest connection limit of servers.
const leastConnLimit = 25

// connLimits returns the connection limits for which the tables are computed.
func connLimits() []int {
	return []int{leastConnLimit, 30, 50, 100}
}
