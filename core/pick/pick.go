package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

const (
	// sampleSize bounds the replicas considered for one pick: of a longer list, so many are taken,
	// evenly spaced from a random start.
	sampleSize = 8
	// probeOneIn: one in so many picks may probe a failing replica.
	probeOneIn = 16
	// draws is the number of replicas compared, wideDraws if more than half appear to be failing,
	// so that a healthy one among three is always found.
	draws     = 2
	wideDraws = 4
	// spillFactor is the ratio between the cost of the best local server and that of the best
	// remote one above which work goes to the remote one.
	spillFactor = 2
	// costTolerance: a server must be cheaper by one part in costTolerance to be preferred.
	// Otherwise all work would follow the smallest change of latency.
	costTolerance = 5
	// remoteLatency is added to an unknown latency of servers in other data centres.
	remoteLatency = 2 * time.Millisecond
	// failurePenalty and refusalPenalty increase the cost, in proportion to the shares of failures
	// and refusals.
	failurePenalty = 16
	refusalPenalty = 4
	// maxWait keeps the product of wait and penalty within 64 bits.
	maxWait = int64(time.Hour)
)

// Default weights by state, for servers without a weight of their own.
const (
	coldWeight     = 0.1
	sheddingWeight = 0.5
	suspectWeight  = 0.1
)

// Chooser picks replicas for one search under one view.
type Chooser struct {
	tb       *Table
	servers  []*serverStats
	vw       *view.View
	rnd      *rand.Rand
	now      time.Duration
	noProbes bool
}

// Chooser returns a chooser for one search.
func (tb *Table) Chooser(now time.Duration, vw *view.View, rnd *rand.Rand) Chooser {
	return Chooser{tb: tb, servers: *tb.servers.Load(), vw: vw, rnd: rnd, now: now}
}

// WithoutProbes returns a chooser that never probes a failing server. It is for sub-requests that
// cannot be repeated and so must not be used as probes.
func (ch Chooser) WithoutProbes() Chooser {
	ch.noProbes = true
	return ch
}

// candidate is a replica that may be picked.
type candidate struct {
	id      view.ServerID
	stats   *serverStats
	local   bool
	failing bool
	probe   bool
	skipped bool
	tried   bool
}

// candidateSet holds the live replicas considered for one pick.
type candidateSet struct {
	list    [sampleSize]candidate
	n       int
	failing int
	// probes counts the servers that are failing or recovering.
	probes int
}

// Pick returns a replica that is not leaving and not in tried, or false if there is none.
func (ch Chooser) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	var cs candidateSet
	untried := ch.gather(&cs, replicas, tried)
	if untried == 0 {
		return 0, false
	}
	if untried == 1 {
		return cs.onlyUntried(), true
	}
	if cs.probes > 0 {
		if id, ok := ch.probe(&cs); ok {
			return id, true
		}
	}
	// If more than half appear to be failing, none is excluded for it.
	rule := healthyOnly
	if cs.failing > cs.n/2 {
		rule = includeFailing
	}
	local, localCost := ch.best(&cs, true, rule)
	remote, remoteCost := ch.best(&cs, false, rule)
	if local == nil && remote == nil {
		// Weights and failures excluded all: a poor replica is better than an uncovered shard.
		local, localCost = ch.best(&cs, true, anyUntried)
		remote, remoteCost = ch.best(&cs, false, anyUntried)
	}
	if local == nil || remote != nil && localCost > spillFactor*remoteCost {
		return remote.id, true
	}
	return local.id, true
}

// gather fills the set and returns the number of candidates not tried yet.
func (ch Chooser) gather(cs *candidateSet, replicas, tried []view.ServerID) int {
	if len(replicas) <= sampleSize {
		return ch.add(cs, replicas, tried)
	}
	var sample [sampleSize]view.ServerID
	at := ch.rnd.IntN(len(replicas))
	// Even spacing matters because the list may be sorted by data centre.
	step := len(replicas) / sampleSize
	for i := range sample {
		sample[i] = replicas[at%len(replicas)]
		at += step
	}
	if untried := ch.add(cs, sample[:], tried); untried > 0 {
		return untried
	}
	for i := range replicas {
		*cs = candidateSet{}
		if untried := ch.add(cs, replicas[i:i+1], tried); untried > 0 {
			return untried
		}
	}
	return 0
}

func (ch Chooser) add(cs *candidateSet, replicas, tried []view.ServerID) int {
	untried := 0
	for _, id := range replicas {
		sv := ch.vw.ServerRef(id)
		if sv.State.Leaving() {
			continue
		}
		cd := &cs.list[cs.n]
		cd.id = id
		cd.stats = ch.servers[id]
		cd.local = sv.DataCentre == ch.tb.cfg.DataCentre
		cd.failing = cd.stats.failing()
		cd.probe = cd.stats.recovering.Load()
		cd.skipped = ch.skipByWeight(sv)
		cd.tried = contains(tried, id)
		if cd.failing {
			cs.failing++
		}
		if cd.probe {
			cs.probes++
		}
		if !cd.tried {
			untried++
		}
		cs.n++
	}
	return untried
}

// skipByWeight reports whether a server of low weight is skipped for this pick, chosen at random.
func (ch Chooser) skipByWeight(sv *view.Server) bool {
	weight := weightOf(sv)
	return weight < 1 && ch.rnd.Float32() >= weight
}

func weightOf(sv *view.Server) float32 {
	if sv.Weight > 0 {
		return sv.Weight
	}
	switch sv.State {
	case view.StateCold:
		return coldWeight
	case view.StateShedding:
		return sheddingWeight
	case view.StateSuspect:
		return suspectWeight
	default:
		return 1
	}
}

func (cs *candidateSet) onlyUntried() view.ServerID {
	for i := range cs.n {
		if !cs.list[i].tried {
			return cs.list[i].id
		}
	}
	panic("pick: an untried candidate was counted and is not there")
}

// probe occasionally lets one sub-request through to a failing or recovering server. Real
// sub-requests serve as probes because a server that answers pings may still fail searches.
func (ch Chooser) probe(cs *candidateSet) (view.ServerID, bool) {
	if ch.noProbes || ch.rnd.IntN(probeOneIn) != 0 {
		return 0, false
	}
	for i := range cs.n {
		cd := &cs.list[i]
		if cd.probe && !cd.tried && cd.stats.probe(ch.now) {
			return cd.id, true
		}
	}
	return 0, false
}

// rule selects the candidates that may be drawn.
type rule uint8

const (
	healthyOnly rule = iota
	includeFailing
	anyUntried
)

func (ru rule) allows(cd *candidate) bool {
	switch ru {
	case healthyOnly:
		return !cd.tried && !cd.skipped && !cd.failing
	case includeFailing:
		return !cd.tried && !cd.skipped
	default:
		return !cd.tried
	}
}

// best returns the cheapest of a few candidates drawn at random from the local or the remote ones,
// and its cost; nil if the rule allows none.
func (ch Chooser) best(cs *candidateSet, local bool, ru rule) (*candidate, int64) {
	var list [sampleSize]uint8
	n := 0
	for i := range cs.n {
		cd := &cs.list[i]
		if cd.local == local && ru.allows(cd) {
			list[n] = uint8(i)
			n++
		}
	}
	if n == 0 {
		return nil, 0
	}
	count := draws
	if ru != healthyOnly {
		count = wideDraws
	}
	var cheapest *candidate
	cost := int64(0)
	for range min(count, n) {
		at := ch.rnd.IntN(n)
		cd := &cs.list[list[at]]
		n--
		list[at] = list[n]
		if co := ch.cost(cs, cd); cheapest == nil || co < cost-cost/costTolerance {
			cheapest, cost = cd, co
		}
	}
	return cheapest, cost
}

// cost returns the expected wait of a new sub-request, in nanoseconds, including penalties.
func (ch Chooser) cost(cs *candidateSet, cd *candidate) int64 {
	st := cd.stats
	latency := st.latency.Load()
	failures := st.failures.Load()
	refusals := st.refusals.Load()
	if halvings := st.staleHalvings(ch.now); halvings > 0 {
		failures >>= halvings
		refusals >>= halvings
		if best := cs.assumedLatency(cd.local); latency > best {
			latency = best + (latency-best)>>halvings
		}
	}
	if latency == 0 {
		latency = cs.assumedLatency(cd.local)
	}
	penalty := fixedOne + failurePenalty*failures + refusalPenalty*refusals
	wait := (st.inFlight.Load() + 1) * latency
	return min(wait, maxWait) * penalty / fixedOne
}

// assumedLatency is the latency assumed for a server that has not answered yet, or not recently:
// the lowest of all candidates, so that the server is tried and its own replies replace the
// assumption.
func (cs *candidateSet) assumedLatency(local bool) int64 {
	least := int64(math.MaxInt64)
	for i := range cs.n {
		if latency := cs.list[i].stats.latency.Load(); latency > 0 {
			least = min(least, latency)
		}
	}
	if least == math.MaxInt64 {
		least = int64(time.Millisecond)
	}
	if local {
		return least
	}
	return least + int64(remoteLatency)
}

func contains(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
