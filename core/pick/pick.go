// Package pick chooses a replica for a sub-request from what this VM has seen
// itself: work in flight and recent latency.
//
// # Usage
//
//	tb := pick.New(pick.Config{DataCentre: "east"})
//	tb.Grow(len(vw.Servers()))
//	ch := tb.Chooser(vw, rnd)
//	id, ok := ch.Pick(replicas, tried)
//	tb.Begin(id)
//	defer tb.End(id, latency)
//
// A Table may be used from many goroutines; a Chooser belongs to one search.
package pick

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"laburnumvane/core/view"
)

// latencyWeight is the weight of the newest latency in the moving average.
const latencyWeight = 8

// Config sets a table.
type Config struct {
	// DataCentre is where this VM stands; its servers go first.
	DataCentre string
}

// Table holds what this VM knows of each server's load.
type Table struct {
	cfg     Config
	servers atomic.Pointer[[]*load]
}

type load struct {
	inFlight atomic.Int64
	latency  atomic.Int64
}

// New makes a table without servers.
func New(cfg Config) *Table {
	tb := &Table{cfg: cfg}
	tb.servers.Store(&[]*load{})
	return tb
}

// Grow makes room for n servers. Only the control goroutine calls it.
func (tb *Table) Grow(n int) {
	old := *tb.servers.Load()
	if n <= len(old) {
		return
	}
	grown := make([]*load, n)
	copy(grown, old)
	for i := len(old); i < n; i++ {
		grown[i] = new(load)
	}
	tb.servers.Store(&grown)
}

// Begin counts a sub-request as in flight on a server.
func (tb *Table) Begin(id view.ServerID) {
	tb.of(id).inFlight.Add(1)
}

// End settles a sub-request. A latency of 0 leaves the average as it is, for
// replies that say nothing about speed.
func (tb *Table) End(id view.ServerID, latency time.Duration) {
	ld := tb.of(id)
	ld.inFlight.Add(-1)
	if latency <= 0 {
		return
	}
	old := ld.latency.Load()
	if old == 0 {
		ld.latency.Store(int64(latency))
		return
	}
	ld.latency.Store(old + (int64(latency)-old)/latencyWeight)
}

// InFlight is the number of sub-requests in flight on a server from this VM.
func (tb *Table) InFlight(id view.ServerID) int {
	return int(tb.of(id).inFlight.Load())
}

// Latency is the moving average of a server's latency; 0 means none seen.
func (tb *Table) Latency(id view.ServerID) time.Duration {
	return time.Duration(tb.of(id).latency.Load())
}

func (tb *Table) of(id view.ServerID) *load {
	return (*tb.servers.Load())[id]
}

// Chooser picks replicas for one search under one view.
type Chooser struct {
	tb  *Table
	vw  *view.View
	rnd *rand.Rand
}

// Chooser makes the chooser of one search.
func (tb *Table) Chooser(vw *view.View, rnd *rand.Rand) Chooser {
	return Chooser{tb: tb, vw: vw, rnd: rnd}
}

// Pick returns a server of the list that is not leaving and not in tried; own
// data centre first, the better of two at random.
func (ch Chooser) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	var near, far [8]view.ServerID
	nearN, farN := 0, 0
	for _, id := range replicas {
		sv := ch.vw.Server(id)
		if sv.State.Leaving() || contains(tried, id) {
			continue
		}
		if sv.DataCentre == ch.tb.cfg.DataCentre && nearN < len(near) {
			near[nearN] = id
			nearN++
		} else if farN < len(far) {
			far[farN] = id
			farN++
		}
	}
	if nearN > 0 {
		return ch.better(near[:nearN]), true
	}
	if farN > 0 {
		return ch.better(far[:farN]), true
	}
	return 0, false
}

func (ch Chooser) better(ids []view.ServerID) view.ServerID {
	if len(ids) == 1 {
		return ids[0]
	}
	i := ch.rnd.IntN(len(ids))
	j := ch.rnd.IntN(len(ids) - 1)
	if j >= i {
		j++
	}
	if ch.cost(ids[j]) < ch.cost(ids[i]) {
		return ids[j]
	}
	return ids[i]
}

// cost is the wait that a new sub-request would see: work ahead of it times
// the time each takes.
func (ch Chooser) cost(id view.ServerID) int64 {
	ld := ch.tb.of(id)
	return (ld.inFlight.Load() + 1) * max(ld.latency.Load(), 1)
}

func contains(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
