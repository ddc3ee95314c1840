package pick_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"laburnumvane/core/pick"
	"laburnumvane/core/view"
	"laburnumvane/internal/vtime"
)

// server is a stand-in with a few slots and a queue, in virtual time.
type server struct {
	// free is when each slot is free again.
	free [3]time.Duration
	// slow multiplies its service times; broken answers errors at once.
	slow   float64
	broken bool
	// away is the way there and back.
	away time.Duration
	got  int
}

func (sv *server) serve(now time.Duration, rnd *rand.Rand) (done time.Duration, ok bool) {
	sv.got++
	if sv.broken {
		return now + sv.away + ms/10, false
	}
	slot := 0
	for i := range sv.free {
		if sv.free[i] < sv.free[slot] {
			slot = i
		}
	}
	took := time.Duration((2 + 6*rnd.ExpFloat64()) * sv.slow * float64(ms))
	sv.free[slot] = max(sv.free[slot], now) + took
	return sv.free[slot] + sv.away, true
}

// ending is a reply on its way back to a VM.
type ending struct {
	began time.Duration
	vm    int
	id    view.ServerID
	ok    bool
}

// policy chooses for a VM.
type policy func(vm int, now time.Duration) view.ServerID

// result is what the callers saw.
type result struct {
	took   []time.Duration
	failed int
	shares []float64
}

const (
	simVMs  = 9
	simTime = 60 * time.Second
)

// simulate lets nine VMs, which share nothing, send to one shard's replicas.
func simulate(servers []*server, rate float64, tables []*pick.Table, choose policy) result {
	rnd := rand.New(rand.NewPCG(3, 4))
	var back vtime.Agenda[ending]
	var rs result
	now := time.Duration(0)
	total := 0
	for now < simTime {
		now += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		for en := range back.Until(now) {
			end := pick.Replied
			if !en.ok {
				end = pick.Failed
			}
			tables[en.vm].End(back.Now(), en.id, end, back.Now()-en.began)
		}
		vm := rnd.IntN(simVMs)
		id := choose(vm, now)
		tables[vm].Begin(id)
		at, ok := servers[id].serve(now, rnd)
		back.After(at-now, ending{began: now, vm: vm, id: id, ok: ok})
		total++
		if ok {
			rs.took = append(rs.took, at-now)
		} else {
			rs.failed++
		}
	}
	sort.Slice(rs.took, func(i, j int) bool { return rs.took[i] < rs.took[j] })
	for _, sv := range servers {
		rs.shares = append(rs.shares, float64(sv.got)/float64(total))
	}
	return rs
}

// Nine VMs over three replicas of three slots, at 60% of what well ones can do,
// for a minute of virtual time: this package against a replica drawn at random,
// in the same run.
func BenchmarkPolicies(b *testing.B) {
	// One slot does 125 a second at a mean of 8 ms; nine do 1125.
	const rate = 0.6 * 1125
	well := func() *server { return &server{slow: 1, away: 2 * ms} }
	cases := []struct {
		name    string
		servers func() []*server
		west    int
	}{
		{"all well", func() []*server { return []*server{well(), well(), well()} }, 0},
		{"one five times slower", func() []*server { sv := well(); sv.slow = 5; return []*server{sv, well(), well()} }, 0},
		{"one answers errors at once", func() []*server { sv := well(); sv.broken = true; return []*server{sv, well(), well()} }, 0},
		{"near one overloaded", func() []*server {
			far := well()
			far.away = 4 * ms
			further := well()
			further.away = 4 * ms
			return []*server{well(), far, further}
		}, 2},
	}
	for _, bc := range cases {
		for _, random := range []bool{true, false} {
			name := bc.name + "/pick"
			if random {
				name = bc.name + "/random"
			}
			b.Run(name, func(b *testing.B) {
				var rs result
				for b.Loop() {
					list := []view.Server{east(view.StateServing), east(view.StateServing), east(view.StateServing)}
					for i := range bc.west {
						list[len(list)-1-i] = west()
					}
					ri := newRig(list...)
					tables := make([]*pick.Table, simVMs)
					for i := range tables {
						tables[i] = pick.New(pick.Config{DataCentre: "east"})
						tables[i].Grow(len(list))
					}
					choose := func(vm int, now time.Duration) view.ServerID {
						id, _ := tables[vm].Chooser(now, &ri.vw, ri.rnd).Pick(ri.all, nil)
						return id
					}
					if random {
						choose = func(int, time.Duration) view.ServerID { return view.ServerID(ri.rnd.IntN(len(list))) }
					}
					rs = simulate(bc.servers(), rate, tables, choose)
				}
				b.ReportMetric(float64(rs.took[len(rs.took)/2])/float64(ms), "p50-ms")
				b.ReportMetric(float64(rs.took[len(rs.took)*99/100])/float64(ms), "p99-ms")
				b.ReportMetric(100*float64(rs.failed)/float64(rs.failed+len(rs.took)), "failed-%")
				b.ReportMetric(100*rs.shares[0], "first-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
