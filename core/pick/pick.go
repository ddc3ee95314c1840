package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

const (
	// window bounds the replicas looked at for one pick, from a random one on.
	window = 16
	// probeShare is one in how many picks may probe a sick replica.
	probeShare = 16
	// draws is the number of replicas compared; wideDraws where more than half
	// look sick, so that a well one among three is always found.
	draws     = 2
	wideDraws = 4
	// spillFactor is how many times more the own data centre's best must cost
	// than the best elsewhere before work leaves it.
	spillFactor = 2
	// hop is added to an unknown latency elsewhere.
	hop = 2 * time.Millisecond
	// failurePenalty and refusalPenalty multiply the cost of a server that
	// fails or refuses all.
	failurePenalty = 16
	refusalPenalty = 4
	// mostWait keeps the product of wait and penalty within 64 bits.
	mostWait = int64(time.Hour)
)

// Weights of states whose server has no weight of its own.
const (
	coldWeight     = 0.1
	sheddingWeight = 0.5
	suspectWeight  = 0.1
)

// Chooser picks replicas for one search under one view.
type Chooser struct {
	tb      *Table
	servers []*load
	vw      *view.View
	rnd     *rand.Rand
	now     time.Duration
	careful bool
}

// Chooser makes the chooser of one search.
func (tb *Table) Chooser(now time.Duration, vw *view.View, rnd *rand.Rand) Chooser {
	return Chooser{tb: tb, servers: *tb.servers.Load(), vw: vw, rnd: rnd, now: now}
}

// WithoutProbes returns a chooser that never probes a sick server: a
// sub-request that cannot be sent again must not be the one to find out.
func (ch Chooser) WithoutProbes() Chooser {
	ch.careful = true
	return ch
}

// candidate is a replica that may be picked.
type candidate struct {
	id    view.ServerID
	ld    *load
	near  bool
	sick  bool
	thin  bool
	taken bool
}

// field is the live replicas looked at for one pick.
type field struct {
	all  [window]candidate
	n    int
	sick int
}

// Pick returns a replica that is not leaving and not in tried; false if there
// is none.
func (ch Chooser) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	var fd field
	open := ch.gather(&fd, replicas, tried)
	if open == 0 {
		return 0, false
	}
	if open == 1 {
		return fd.only(), true
	}
	if fd.sick > 0 {
		if id, ok := ch.probe(&fd); ok {
			return id, true
		}
	}
	most := fd.sick > fd.n/2
	near, nearCost := ch.best(&fd, true, most)
	far, farCost := ch.best(&fd, false, most)
	switch {
	case near == nil && far == nil:
		return ch.any(&fd), true
	case near == nil:
		return far.id, true
	case far == nil:
		return near.id, true
	case nearCost > spillFactor*farCost:
		return far.id, true
	default:
		return near.id, true
	}
}

// gather fills the field and tells how many of it were not tried yet.
func (ch Chooser) gather(fd *field, replicas, tried []view.ServerID) int {
	if len(replicas) == 0 {
		return 0
	}
	start := 0
	if len(replicas) > window {
		start = ch.rnd.IntN(len(replicas))
	}
	open := 0
	for i := range replicas {
		at := start + i
		if at >= len(replicas) {
			at -= len(replicas)
		}
		id := replicas[at]
		sv := ch.vw.ServerRef(id)
		if sv.State.Leaving() {
			continue
		}
		cd := &fd.all[fd.n]
		cd.id = id
		cd.ld = ch.servers[id]
		cd.near = sv.DataCentre == ch.tb.cfg.DataCentre
		cd.sick = cd.ld.sick()
		cd.thin = ch.thinned(sv)
		cd.taken = contains(tried, id)
		if cd.sick {
			fd.sick++
		}
		if !cd.taken {
			open++
		}
		fd.n++
		if fd.n == window {
			if open > 0 {
				return open
			}
			// All of the window were tried; look on beyond it.
			fd.n, fd.sick = 0, 0
		}
	}
	return open
}

// thinned leaves a server of low weight out of some picks.
func (ch Chooser) thinned(sv *view.Server) bool {
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

func (fd *field) only() view.ServerID {
	for i := range fd.n {
		if !fd.all[i].taken {
			return fd.all[i].id
		}
	}
	panic("pick: an open candidate was counted and is not there")
}

// probe lets one sub-request through to a sick server now and then. The server
// is probed by real work, since one that answers pings may fail searches.
func (ch Chooser) probe(fd *field) (view.ServerID, bool) {
	if ch.careful || ch.rnd.IntN(probeShare) != 0 {
		return 0, false
	}
	for i := range fd.n {
		cd := &fd.all[i]
		if cd.sick && !cd.taken && cd.ld.probe(ch.now) {
			return cd.id, true
		}
	}
	return 0, false
}

// best compares a few candidates drawn at random, near or far ones. Sick ones
// are left out unless most are sick.
func (ch Chooser) best(fd *field, near, most bool) (*candidate, int64) {
	var list [window]uint8
	n := 0
	for i := range fd.n {
		cd := &fd.all[i]
		if cd.near == near && !cd.taken && !cd.thin && (most || !cd.sick) {
			list[n] = uint8(i)
			n++
		}
	}
	if n == 0 {
		return nil, 0
	}
	count := draws
	if most {
		count = wideDraws
	}
	var won *candidate
	cost := int64(math.MaxInt64)
	for range min(count, n) {
		at := ch.rnd.IntN(n)
		cd := &fd.all[list[at]]
		n--
		list[at] = list[n]
		if co := ch.cost(fd, cd); co < cost {
			won, cost = cd, co
		}
	}
	return won, cost
}

// any picks the cheapest of all that are open, where weights and sickness left
// none: a poor replica is better than an uncovered shard.
func (ch Chooser) any(fd *field) view.ServerID {
	var won *candidate
	cost := int64(math.MaxInt64)
	for i := range fd.n {
		cd := &fd.all[i]
		if cd.taken {
			continue
		}
		if co := ch.cost(fd, cd); won == nil || co < cost {
			won, cost = cd, co
		}
	}
	return won.id
}

// cost is the wait that a new sub-request would see, in nanoseconds.
func (ch Chooser) cost(fd *field, cd *candidate) int64 {
	latency := cd.ld.latency.Load()
	if latency == 0 {
		latency = fd.guess(cd.near)
	}
	penalty := whole + failurePenalty*cd.ld.failures.Load() + refusalPenalty*cd.ld.refusals.Load()
	wait := (cd.ld.inFlight.Load() + 1) * latency
	return min(wait, mostWait) * penalty / whole
}

// guess is the latency taken for a server that has not answered yet: the mean of
// the others, so that a new server is neither shunned nor flooded.
func (fd *field) guess(near bool) int64 {
	sum, n := int64(0), int64(0)
	for i := range fd.n {
		if latency := fd.all[i].ld.latency.Load(); latency > 0 {
			sum += latency
			n++
		}
	}
	mean := int64(time.Millisecond)
	if n > 0 {
		mean = sum / n
	}
	if near {
		return mean
	}
	return mean + int64(hop)
}

func contains(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
