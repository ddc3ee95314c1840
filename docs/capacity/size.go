package main

// The size that the tables are worked out for.
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

// What a node may spend on control.
const (
	maxControlCore  = 1.4 // per cent of a core
	maxControlMB    = 64
	maxControlBytes = 8 * 1024 // a second
)

// Assumptions that no benchmark can measure.
const (
	teams         = 100
	rackNodes     = 20
	rackServers   = 40
	partitionMins = 5
	// inFlight is how long a search takes at the most, in seconds.
	inFlight = 0.2
	// spareConns is how many connections to a server a fan-out needs so that
	// its sub-requests seldom wait for one another.
	spareConns = 2
)

// Parts of the size.
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

// leastConnLimit is the least that servers allow.
const leastConnLimit = 25

// connLimits are the connections that servers allow.
func connLimits() []int {
	return []int{leastConnLimit, 30, 50, 100}
}
