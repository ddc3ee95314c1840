package poison_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds is how many runs there are of each fleet; more by hand.
var seeds = flag.Int("seeds", 2, "runs of each simulated fleet")

// harm is what befalls the servers of a fleet.
type harm struct {
	name string
	// crashers is how many requests crash servers, and come again every few seconds.
	crashers int
	// everywhere is set if they come to all VMs at once.
	everywhere bool
	// strike ends servers, or connections, from the first second on.
	strike func(fw *fleet)
}

func harms() []harm {
	replica := func(fw *fleet, r int) {
		for _, shard := range fw.servers {
			fw.end(shard[r])
		}
	}
	return []harm{
		{name: "one request crashes servers", crashers: 1},
		{name: "it comes to all VMs at once", crashers: 1, everywhere: true},
		{name: "twenty requests crash servers", crashers: 20},
		{name: "one server ends", strike: func(fw *fleet) { fw.end(fw.servers[0][0]) }},
		{name: "a shard ends", strike: func(fw *fleet) {
			for _, sv := range fw.servers[0] {
				fw.end(sv)
			}
		}},
		{name: "a rack ends", strike: func(fw *fleet) { replica(fw, 0) }},
		{name: "two racks end, 40 ms apart", strike: func(fw *fleet) {
			replica(fw, 0)
			fw.after(40*ms, func() { replica(fw, 1) })
		}},
		{name: "servers end in turn", strike: func(fw *fleet) {
			wait := time.Duration(0)
			for _, shard := range fw.servers {
				for _, sv := range shard {
					fw.after(wait, func() { fw.end(sv) })
					wait += 70 * ms
				}
			}
		}},
		{name: "a fifth of the answers is lost", strike: func(fw *fleet) { fw.lost = 0.2 }},
		{name: "half of the answers is lost", strike: func(fw *fleet) { fw.lost = 0.5 }},
	}
}

// crash has requests come that crash servers, every few seconds, each at some VM or at all.
func (fw *fleet) crash(ha harm, until time.Duration) {
	for n := range ha.crashers {
		gap := window + time.Duration(100+fw.rnd.IntN(400))*ms
		for at := time.Second; at < until; at += gap {
			if !ha.everywhere {
				fw.after(at, func() { fw.arrive(fw.vms[fw.rnd.IntN(len(fw.vms))], crasher(n), true, 1) })
				continue
			}
			for _, vm := range fw.vms {
				fw.after(at, func() { fw.arrive(vm, crasher(n), true, 1) })
			}
		}
	}
}

// Servers end under requests that crash them, which come again, and for other reasons while
// requests run there. The first must come to servers a few times at most. Nobody else's
// request may be refused: others are under way at the servers that end, and come again at
// the same moment too; a whole search breaks where a rack ends.
func TestNobodyElseIsRefused(t *testing.T) {
	for _, sh := range shapes() {
		for _, ha := range harms() {
			t.Run(sh.name+", "+ha.name, func(t *testing.T) {
				is := is.New(t)
				ended, served, arrived := 0, 0, 0
				for seed := range *seeds {
					fw := newFleet(sh, uint64(seed))
					// A request that crashes servers needs some returns; what else ends does so once.
					end := 6 * time.Second
					if ha.crashers > 0 {
						end = 20 * time.Second
					}
					fw.load(end)
					fw.poll(end)
					fw.crash(ha, end)
					if ha.strike != nil {
						fw.after(time.Second, func() { ha.strike(fw) })
					}
					fw.run(end + time.Second)
					for n := range ha.crashers {
						is.True(fw.late(crasher(n)) <= mostAfter)
					}
					is.Equal(fw.tally["others refused"], 0)
					ended += fw.tally["ended"]
					served += fw.tally["others served"]
					arrived += fw.lastKey
				}
				t.Logf("servers ended %d a run; %.3f of the others' requests served", ended / *seeds, float64(served)/float64(arrived))
			})
		}
	}
}

// shapeOf finds a fleet by its name.
func shapeOf(t *testing.T, name string) shape {
	t.Helper()
	for _, sh := range shapes() {
		if sh.name == name {
			return sh
		}
	}
	t.Fatalf("no fleet is called %s", name)
	return shape{}
}

// Twenty requests crash servers at the same time, and come again every few seconds. Servers
// that end under one are claimed by another one's trial, so that the end counts for neither,
// and some of the twenty come to servers more often than they may: one had crashed ten servers
// at 1.03 s, and its arrivals at 5.452, 9.898, 9.916 and 14.35 s reached servers again.
func TestManyCrashingRequestsAtOnce(t *testing.T) {
	for _, tc := range []struct {
		fleet string
		seed  uint64
	}{
		{"slow searches", 28},
		{"one service of 4", 15},
		{"one service of 4", 23},
		{"one service of 4", 30},
		{"one service of 4", 47},
	} {
		t.Run(fmt.Sprintf("%s, %d", tc.fleet, tc.seed), func(t *testing.T) {
			is := is.New(t)
			const crashers, end = 20, 20 * time.Second
			fw := newFleet(shapeOf(t, tc.fleet), tc.seed)
			fw.load(end)
			fw.crash(harm{crashers: crashers}, end)
			fw.run(end + time.Second)
			for n := range crashers {
				is.True(fw.late(crasher(n)) <= mostAfter)
			}
			is.Equal(fw.tally["others refused"], 0)
		})
	}
}
