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

// simServer simulates a server with a few slots and a queue, in virtual time.
type simServer struct {
	// freeAt is when each slot becomes free.
	freeAt [3]time.Duration
	// slowdown multiplies the service times; failing servers return errors immediately.
	slowdown float64
	failing  bool
	// networkTime is the round-trip time.
	networkTime time.Duration
	received    int
}

func (sv *simServer) serve(now time.Duration, rnd *rand.Rand) (done time.Duration, ok bool) {
	sv.received++
	if sv.failing {
		return now + sv.networkTime + ms/10, false
	}
	slot := 0
	for i := range sv.freeAt {
		if sv.freeAt[i] < sv.freeAt[slot] {
			slot = i
		}
	}
	took := time.Duration((2 + 6*rnd.ExpFloat64()) * sv.slowdown * float64(ms))
	sv.freeAt[slot] = max(sv.freeAt[slot], now) + took
	return sv.freeAt[slot] + sv.networkTime, true
}

// pendingReply is a reply on its way back to a VM.
type pendingReply struct {
	start time.Duration
	vm    int
	id    view.ServerID
	ok    bool
}

// policy chooses a server for a VM's sub-request.
type policy func(vm int, now time.Duration) view.ServerID

// outcome is the outcome of a simulation, as seen by the VMs.
type outcome struct {
	latencies []time.Duration
	failed    int
	shares    []float64
}

const (
	simVMs  = 9
	simTime = 60 * time.Second
)

// simulate runs nine VMs that share no state and send sub-requests to the replicas of one shard.
func simulate(servers []*simServer, rate float64, tables []*pick.Table, choose policy) outcome {
	rnd := rand.New(rand.NewPCG(3, 4))
	var back vtime.Agenda[pendingReply]
	var rs outcome
	now := time.Duration(0)
	total := 0
	for now < simTime {
		now += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		for en := range back.Until(now) {
			end := pick.Replied
			if !en.ok {
				end = pick.Failed
			}
			tables[en.vm].End(back.Now(), en.id, end, back.Now()-en.start)
		}
		vm := rnd.IntN(simVMs)
		id := choose(vm, now)
		tables[vm].Begin(id)
		at, ok := servers[id].serve(now, rnd)
		back.After(at-now, pendingReply{start: now, vm: vm, id: id, ok: ok})
		total++
		if ok {
			rs.latencies = append(rs.latencies, at-now)
		} else {
			rs.failed++
		}
	}
	sort.Slice(rs.latencies, func(i, j int) bool { return rs.latencies[i] < rs.latencies[j] })
	for _, sv := range servers {
		rs.shares = append(rs.shares, float64(sv.received)/float64(total))
	}
	return rs
}

// Compares this package with random choice in the same run: nine VMs, three replicas of three
// slots, at 60% of the capacity of healthy replicas, for one minute of virtual time.
func BenchmarkPolicies(b *testing.B) {
	// One slot serves 125 sub-requests per second at a mean of 8 ms; nine slots serve 1125.
	const rate = 0.6 * 1125
	healthy := func() *simServer { return &simServer{slowdown: 1, networkTime: 2 * ms} }
	cases := []struct {
		name    string
		servers func() []*simServer
		west    int
	}{
		{"all healthy", func() []*simServer { return []*simServer{healthy(), healthy(), healthy()} }, 0},
		{"one five times slower", func() []*simServer { sv := healthy(); sv.slowdown = 5; return []*simServer{sv, healthy(), healthy()} }, 0},
		{"one returns errors immediately", func() []*simServer { sv := healthy(); sv.failing = true; return []*simServer{sv, healthy(), healthy()} }, 0},
		{"local one overloaded", func() []*simServer {
			far := healthy()
			far.networkTime = 4 * ms
			farther := healthy()
			farther.networkTime = 4 * ms
			return []*simServer{healthy(), far, farther}
		}, 2},
	}
	for _, bc := range cases {
		for _, random := range []bool{true, false} {
			name := bc.name + "/pick"
			if random {
				name = bc.name + "/random"
			}
			b.Run(name, func(b *testing.B) {
				var rs outcome
				for b.Loop() {
					list := []view.Server{east(view.StateServing), east(view.StateServing), east(view.StateServing)}
					for i := range bc.west {
						list[len(list)-1-i] = west()
					}
					fx := newFixture(list...)
					tables := make([]*pick.Table, simVMs)
					for i := range tables {
						tables[i] = pick.New(pick.Config{DataCentre: "east"})
						tables[i].Grow(len(list))
					}
					choose := func(vm int, now time.Duration) view.ServerID {
						id, _ := tables[vm].Chooser(now, &fx.vw, fx.rnd).Pick(fx.shard, nil)
						return id
					}
					if random {
						choose = func(int, time.Duration) view.ServerID { return view.ServerID(fx.rnd.IntN(len(list))) }
					}
					rs = simulate(bc.servers(), rate, tables, choose)
				}
				b.ReportMetric(float64(rs.latencies[len(rs.latencies)/2])/float64(ms), "p50-ms")
				b.ReportMetric(float64(rs.latencies[len(rs.latencies)*99/100])/float64(ms), "p99-ms")
				b.ReportMetric(100*float64(rs.failed)/float64(rs.failed+len(rs.latencies)), "failed-%")
				b.ReportMetric(100*rs.shares[0], "first-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
