package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

const (
	// window bounds the replicas looked at for one pick: of a longer list so
	// many are taken, evenly spaced, from a random one on.
	window = 8
	// probeShare is one in how many picks may probe a sick replica.
	probeShare = 16
	// draws is the number of replicas compared; wideDraws where more than half
	// look sick, so that a well one among three is always found.
	draws     = 2
	wideDraws = 4
	// spillFactor is how many times more the own data centre's best must cost
	// than the best elsewhere before work leaves it.
	spillFactor = 2
	// likeShare of a cost, one fifth, is no difference: without it the whole
	// work would follow the smallest change of latency.
	likeShare = 5
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
	probe bool
	thin  bool
	taken bool
}

// field is the live replicas looked at for one pick.
type field struct {
	all  [window]candidate
	n    int
	sick int
	// probes counts those that are sick or were until lately.
	probes int
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
	if fd.probes > 0 {
		if id, ok := ch.probe(&fd); ok {
			return id, true
		}
	}
	// Where more than half look sick, none is left out for it.
	rule := wellOnly
	if fd.sick > fd.n/2 {
		rule = sickToo
	}
	near, nearCost := ch.best(&fd, true, rule)
	far, farCost := ch.best(&fd, false, rule)
	if near == nil && far == nil {
		// Weights and sickness left none: a poor replica is better than an
		// uncovered shard.
		near, nearCost = ch.best(&fd, true, anyOpen)
		far, farCost = ch.best(&fd, false, anyOpen)
	}
	if near == nil || far != nil && nearCost > spillFactor*farCost {
		return far.id, true
	}
	return near.id, true
}

// gather fills the field and tells how many of it were not tried yet.
func (ch Chooser) gather(fd *field, replicas, tried []view.ServerID) int {
	if len(replicas) <= window {
		return ch.add(fd, replicas, tried)
	}
	var sample [window]view.ServerID
	at := ch.rnd.IntN(len(replicas))
	// Spaced evenly: a list may be sorted by data centre.
	step := len(replicas) / window
	for i := range sample {
		sample[i] = replicas[at%len(replicas)]
		at += step
	}
	if open := ch.add(fd, sample[:], tried); open > 0 {
		return open
	}
	for i := range replicas {
		*fd = field{}
		if open := ch.add(fd, replicas[i:i+1], tried); open > 0 {
			return open
		}
	}
	return 0
}

func (ch Chooser) add(fd *field, replicas, tried []view.ServerID) int {
	open := 0
	for _, id := range replicas {
		sv := ch.vw.ServerRef(id)
		if sv.State.Leaving() {
			continue
		}
		cd := &fd.all[fd.n]
		cd.id = id
		cd.ld = ch.servers[id]
		cd.near = sv.DataCentre == ch.tb.cfg.DataCentre
		cd.sick = cd.ld.sick()
		cd.probe = cd.ld.healing.Load()
		cd.thin = ch.thinned(sv)
		cd.taken = contains(tried, id)
		if cd.sick {
			fd.sick++
		}
		if cd.probe {
			fd.probes++
		}
		if !cd.taken {
			open++
		}
		fd.n++
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

// probe lets one sub-request through to a server that is or was sick now and
// then. The server
// is probed by real work, since one that answers pings may fail searches.
func (ch Chooser) probe(fd *field) (view.ServerID, bool) {
	if ch.careful || ch.rnd.IntN(probeShare) != 0 {
		return 0, false
	}
	for i := range fd.n {
		cd := &fd.all[i]
		if cd.probe && !cd.taken && cd.ld.probe(ch.now) {
			return cd.id, true
		}
	}
	return 0, false
}

// rule says which candidates may be drawn.
type rule uint8

const (
	wellOnly rule = iota
	sickToo
	anyOpen
)

func (ru rule) allows(cd *candidate) bool {
	switch ru {
	case wellOnly:
		return !cd.taken && !cd.thin && !cd.sick
	case sickToo:
		return !cd.taken && !cd.thin
	default:
		return !cd.taken
	}
}

// best compares a few candidates drawn at random, near or far ones.
func (ch Chooser) best(fd *field, near bool, ru rule) (*candidate, int64) {
	var list [window]uint8
	n := 0
	for i := range fd.n {
		cd := &fd.all[i]
		if cd.near == near && ru.allows(cd) {
			list[n] = uint8(i)
			n++
		}
	}
	if n == 0 {
		return nil, 0
	}
	count := draws
	if ru != wellOnly {
		count = wideDraws
	}
	var won *candidate
	cost := int64(0)
	for range min(count, n) {
		at := ch.rnd.IntN(n)
		cd := &fd.all[list[at]]
		n--
		list[at] = list[n]
		if co := ch.cost(fd, cd); won == nil || co < cost-cost/likeShare {
			won, cost = cd, co
		}
	}
	return won, cost
}

// cost is the wait that a new sub-request would see, in nanoseconds.
func (ch Chooser) cost(fd *field, cd *candidate) int64 {
	ld := cd.ld
	latency := ld.latency.Load()
	failures := ld.failures.Load()
	refusals := ld.refusals.Load()
	if halvings := ld.stale(ch.now); halvings > 0 {
		failures >>= halvings
		refusals >>= halvings
		if best := fd.guess(cd.near); latency > best {
			latency = best + (latency-best)>>halvings
		}
	}
	if latency == 0 {
		latency = fd.guess(cd.near)
	}
	penalty := whole + failurePenalty*failures + refusalPenalty*refusals
	wait := (ld.inFlight.Load() + 1) * latency
	return min(wait, mostWait) * penalty / whole
}

// guess is the latency taken for a server that has not answered yet, or not for
// long: that of the best of the others, since only its own replies can tell.
func (fd *field) guess(near bool) int64 {
	least := int64(math.MaxInt64)
	for i := range fd.n {
		if latency := fd.all[i].ld.latency.Load(); latency > 0 {
			least = min(least, latency)
		}
	}
	if least == math.MaxInt64 {
		least = int64(time.Millisecond)
	}
	if near {
		return least
	}
	return least + int64(hop)
}

func contains(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
