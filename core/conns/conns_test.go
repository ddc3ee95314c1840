package conns_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/conns"
	"laburnumvane/core/view"
)

func vmNumber(i int, dc string) conns.VM {
	return conns.VM{Addr: fmt.Sprintf("10.0.%d.%d:7703", i/250, i%250), DataCentre: dc}
}

func vmsOf(n int, dcs ...string) []conns.VM {
	out := make([]conns.VM, n)
	for i := range out {
		out[i] = vmNumber(i, dcs[i%len(dcs)])
	}
	return out
}

// newPlanner returns the planner of a VM with the given view.
func newPlanner(self conns.VM, seen []conns.VM, far bool, groups ...conns.Group) *conns.Planner {
	pl := conns.NewPlanner(conns.PlannerConfig{Self: self, Remote: far})
	for _, vm := range seen {
		pl.Apply(conns.Change{VM: vm, Joined: true})
	}
	for _, gr := range groups {
		pl.Add(gr)
	}
	return pl
}

// connectionsPerReplica adds up, for each replica, the shares of all VMs if each one sees all
// others.
func connectionsPerReplica(vms []conns.VM, far bool, gr conns.Group) []int {
	sums := make([]int, gr.Replicas)
	for _, vm := range vms {
		pl := newPlanner(vm, vms, far, gr)
		for i := range sums {
			sums[i] += pl.Share(0, i)
		}
	}
	return sums
}

// Guards against unused connections: with equal views, the shares of all VMs must add up to the
// limit less its reserve, on each replica and for each number of VMs.
func TestEqualViewsUseAllButReserve(t *testing.T) {
	for _, tt := range []struct {
		name  string
		vms   []conns.VM
		far   bool
		limit int
	}{
		{"Pettigrew member-desk", vmsOf(9, "a", "b", "c"), true, 30},
		{"Pettigrew partner-ledger", vmsOf(9, "a", "b", "c"), true, 100},
		{"Kalimba enrol-desk", vmsOf(8, "a", "b", "c", "d"), true, 25},
		{"Kalimba member-portal", vmsOf(9, "a", "b", "c", "d"), true, 50},
		{"large data centre", vmsOf(330, "a"), false, 100},
		{"large data centre, few connections", vmsOf(330, "a"), false, 25},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for _, sum := range connectionsPerReplica(tt.vms, tt.far, conns.Group{Service: "s", DataCentre: "a", Replicas: 3, Limit: tt.limit}) {
				is.Equal(sum, tt.limit-conns.Reserve(tt.limit))
			}
		})
	}
}

// Guards against exceeding a server's limit: VMs whose views each lack up to m of the live VMs, and
// count up to e dead ones, may together take at most what Bound returns. Bound is computed from the
// formula of a single share; the test adds up the shares of planners with random views.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "vms")
		missing := rapid.IntRange(0, min(n-1, 8)).Draw(rt, "missing")
		extra := rapid.IntRange(0, 4).Draw(rt, "extra")
		limit := rapid.IntRange(1, 100).Draw(rt, "limit")
		gr := conns.Group{Service: rapid.StringN(1, 8, 8).Draw(rt, "service"), DataCentre: "a", Replicas: 3, Limit: limit}
		live := vmsOf(n, "a")
		sums := make([]int, gr.Replicas)
		for i, vm := range live {
			rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), uint64(i)))
			pl := newPlanner(vm, inaccurateView(rnd, live, i, missing, extra), false, gr)
			for replica := range sums {
				sums[replica] += pl.Share(0, replica)
			}
		}
		part, _ := conns.Split(limit, false)
		for replica, sum := range sums {
			if bound := conns.Bound(part, n, missing, extra, replica); sum > bound {
				rt.Fatalf("replica %d: %d VMs use %d, bound %d", replica, n, sum, bound)
			}
		}
	})
}

// inaccurateView returns a view that lacks some of the live VMs and has some dead ones.
func inaccurateView(rnd *rand.Rand, live []conns.VM, self, missing, extra int) []conns.VM {
	others := slices.Delete(slices.Clone(live), self, self+1)
	rnd.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	out := others[min(len(others), rnd.IntN(missing+1)):]
	for i := range rnd.IntN(extra + 1) {
		out = append(out, vmNumber(10_000+rnd.IntN(1_000)*10+i, "a"))
	}
	return out
}

// Compares Bound with the closed form in the package comment: with c <= K the bound is at most the
// sum over j of min(n, K+m-j(n-m)), and the first replica with c > K has at most K+m users, whether
// dead VMs are counted or not.
func TestBoundInClosedForm(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(rt, "vms")
		missing := rapid.IntRange(0, min(n-1, 10)).Draw(rt, "missing")
		extra := rapid.IntRange(0, 5).Draw(rt, "extra")
		part := rapid.IntRange(1, 90).Draw(rt, "part")
		closed := 0
		for j := 0; part+missing-j*(n-missing) > 0; j++ {
			closed += min(n, part+missing-j*(n-missing))
		}
		if bound := conns.Bound(part, n, missing, extra, 0); bound > closed {
			rt.Fatalf("bound %d, closed form %d", bound, closed)
		}
	})
}

// The reserve must suffice for the documented number of VMs that may be missing from every view
// without exceeding a server's limit.
func TestReserveToleratesMissingVMs(t *testing.T) {
	for _, tt := range []struct {
		limit, n, missing int
	}{
		{30, 9, 1}, {25, 8, 1}, {100, 9, 1}, {50, 8, 1}, {25, 330, 4}, {100, 330, 5},
	} {
		t.Run(fmt.Sprintf("limit=%d/vms=%d", tt.limit, tt.n), func(t *testing.T) {
			is := is.New(t)
			part, _ := conns.Split(tt.limit, false)
			is.True(conns.Bound(part, tt.n, tt.missing, 2, 0) <= tt.limit)
		})
	}
}

// Guards against overloading servers when VMs have just started. Before a VM has received a list it
// must use no connections, and until it is five seconds old only one. The first version took the
// whole limit at every VM that received its list after the configuration, or before the other VMs
// were in the list.
func TestVMWithoutReliableList(t *testing.T) {
	is := is.New(t)
	self := vmNumber(0, "a")
	ro := conns.NewRoster(conns.RosterConfig{Self: self, DepartureDelay: time.Minute, SettleTime: 5 * time.Second})
	is.True(!ro.Settled(4 * time.Second))
	is.True(ro.Settled(5 * time.Second)) // no list, but SettleTime has passed
	is.True(ro.Cautious(5 * time.Second))
	ro.Update(time.Second, vmsOf(9, "a"))
	is.Equal(ro.Len(), 9)
	is.True(ro.Settled(time.Second))
	is.True(ro.Cautious(time.Second)) // the list may lack VMs that start now
	is.True(!ro.Cautious(5 * time.Second))
}

// Guards against connections that are assigned twice or never again. A VM that died or is
// unreachable must count for one more minute only, and one that is listed again within that minute
// must count without interruption.
func TestDeadVMCountsForAWhile(t *testing.T) {
	is := is.New(t)
	all := vmsOf(3, "a")
	ro := conns.NewRoster(conns.RosterConfig{Self: all[0], DepartureDelay: time.Minute})
	is.Equal(ro.Update(0, all), []conns.Change{{VM: all[1], Joined: true}, {VM: all[2], Joined: true}})
	is.Equal(len(ro.Update(10*time.Second, all[:2])), 0)
	is.Equal(len(ro.Update(60*time.Second, all)), 0)
	is.Equal(len(ro.Update(61*time.Second, all[:2])), 0)
	is.Equal(len(ro.Expire(120*time.Second)), 0)
	is.Equal(ro.Expire(121*time.Second), []conns.Change{{VM: all[2]}})
}

// A VM that joins changes the rank incrementally, by one hash for each group. The result must equal
// that of a new planner.
func TestPlannerStepsEqualRebuilt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		vms := vmsOf(20, "a", "b", "c")
		groups := []conns.Group{
			{Service: "s", DataCentre: "a", Replicas: 2, Limit: 12}, {Service: "s", DataCentre: "b", Replicas: 1, Limit: 5},
			{Service: "u", DataCentre: "c", Replicas: 3, Limit: 40},
		}
		pl := newPlanner(vms[0], nil, true, groups...)
		joinedVMs := map[conns.VM]bool{}
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			ch := conns.Change{VM: vms[rapid.IntRange(0, 19).Draw(rt, "vm")], Joined: rapid.Bool().Draw(rt, "joined")}
			pl.Apply(ch)
			joinedVMs[ch.VM] = ch.Joined
		}
		var seen []conns.VM
		for vm, joined := range joinedVMs {
			if joined {
				seen = append(seen, vm)
			}
		}
		rebuilt := newPlanner(vms[0], seen, true, groups...)
		for id := range groups {
			for replica := range groups[id].Replicas {
				is.Equal(pl.Share(conns.GroupID(id), replica), rebuilt.Share(conns.GroupID(id), replica))
			}
		}
		is.Equal(pl.Unreached(), rebuilt.Unreached())
	})
}

// Operators see which services cannot be reached. With 330 VMs and services of nine replicas with 25
// connections, of which 21 are divided, 141 VMs have no connection to a service; with 100
// connections every VM reaches all services.
func TestUnreached(t *testing.T) {
	is := is.New(t)
	vms := vmsOf(330, "a")
	for _, tt := range []struct{ limit, without int }{{25, 330 - 9*21}, {100, 0}} {
		without := 0
		for _, vm := range vms {
			pl := newPlanner(vm, vms, false, conns.Group{Service: "s", DataCentre: "a", Replicas: 9, Limit: tt.limit})
			without += len(pl.Unreached())
		}
		is.Equal(without, tt.without)
	}
}

// Guards against overloading a restarted server with new connections. Nine VMs notice the restart at
// the same moment, and each one restarts with one connection and adds one at a time. Within any
// 100 ms they must together open no more than twice, because of jitter, what a quarter of the
// server's time allows; the first connections of all nine are not counted.
func TestRampAfterRestart(t *testing.T) {
	is := is.New(t)
	const users, share = 9, 3
	setup := 6 * time.Millisecond
	allowed := int(100 * time.Millisecond / setup / 4)
	var opened []time.Duration
	for vm := range users {
		ra := conns.NewRamp(conns.RampConfig{Rand: rand.New(rand.NewPCG(1, uint64(vm))), SetupTime: setup, SetupShare: 0.25})
		ra.Set(0, 0, share, users)
		wakeUntilIdle(ra)
		is.Equal(ra.Limit(0), share)
		is.Equal(ra.Restart(time.Minute, 0), []conns.Limit{{ID: 0, N: 1}})
		for at, ok := ra.Next(); ok; at, ok = ra.Next() {
			for range ra.Wake(at) {
				opened = append(opened, at-time.Minute)
			}
		}
		is.Equal(ra.Limit(0), share)
	}
	is.Equal(len(opened), users*(share-1))
	for _, start := range opened {
		n := 0
		for _, at := range opened {
			if at >= start && at < start+100*time.Millisecond {
				n++
			}
		}
		is.True(n <= 2*allowed)
	}
}

// Guards against a tight retry loop: after a server refused a connection because it had too many, no
// further one may be tried for at least five seconds. A reduced share must take effect at once.
func TestRampAfterRefusalAndReduction(t *testing.T) {
	is := is.New(t)
	ra := conns.NewRamp(conns.RampConfig{Rand: rand.New(rand.NewPCG(1, 1)), SetupTime: time.Millisecond, SetupShare: 0.25})
	ra.Set(0, 0, 8, 4)
	wakeUntilIdle(ra)
	is.Equal(ra.Refused(time.Minute, 0, 5), []conns.Limit{{ID: 0, N: 5}})
	next, ok := ra.Next()
	is.True(ok)
	is.True(next-time.Minute >= 5*time.Second)
	is.Equal(ra.Wake(next), []conns.Limit{{ID: 0, N: 6}})
	is.Equal(ra.Set(2*time.Minute, 0, 2, 4), []conns.Limit{{ID: 0, N: 2}})
	is.Equal(ra.Set(2*time.Minute, 0, 0, 4), []conns.Limit{{ID: 0, N: 0}})
}

func wakeUntilIdle(ra *conns.Ramp) {
	for at, ok := ra.Next(); ok; at, ok = ra.Next() {
		ra.Wake(at)
	}
}

// The limits must never exceed the shares, whatever the order of events, and must reach them in the
// end.
func TestRampStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ra := conns.NewRamp(conns.RampConfig{Rand: rand.New(rand.NewPCG(1, 1)), SetupTime: time.Millisecond, SetupShare: 0.25})
		shares := [3]int{}
		now := time.Duration(0)
		for id := range shares {
			ra.Set(now, view.ServerID(id), 0, 1)
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond
			id := rapid.IntRange(0, 2).Draw(rt, "id")
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				shares[id] = rapid.IntRange(0, 9).Draw(rt, "share")
				ra.Set(now, view.ServerID(id), shares[id], 9)
			case 1:
				ra.Restart(now, view.ServerID(id))
			case 2:
				ra.Refused(now, view.ServerID(id), rapid.IntRange(0, 9).Draw(rt, "open"))
			default:
				ra.Wake(now)
			}
			for i, share := range shares {
				if got := ra.Limit(view.ServerID(i)); got > share || got < min(share, 1) {
					rt.Fatalf("limit %d of share %d", got, share)
				}
			}
		}
		wakeUntilIdle(ra)
		for i, share := range shares {
			if got := ra.Limit(view.ServerID(i)); got != share {
				rt.Fatalf("limit %d of share %d in the end", got, share)
			}
		}
	})
}
