package poison_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds is the number of runs of each simulated fleet.
var seeds = flag.Int("seeds", 2, "runs of each simulated fleet")

// faultScenario describes the faults of a simulated fleet.
type faultScenario struct {
	name string
	// crashing is the number of distinct requests that crash servers and are repeated every few
	// seconds.
	crashing int
	// everywhere is set if each of them arrives at all VMs at once.
	everywhere bool
	// inject ends servers or connections, from the first second on.
	inject func(ft *fleet)
}

func faultScenarios() []faultScenario {
	crashReplica := func(ft *fleet, r int) {
		for _, shard := range ft.servers {
			ft.crash(shard[r])
		}
	}
	return []faultScenario{
		{name: "one crashing request", crashing: 1},
		{name: "one crashing request, at all VMs at once", crashing: 1, everywhere: true},
		{name: "twenty crashing requests", crashing: 20},
		{name: "one server crashes", inject: func(ft *fleet) { ft.crash(ft.servers[0][0]) }},
		{name: "all servers of a shard crash", inject: func(ft *fleet) {
			for _, sv := range ft.servers[0] {
				ft.crash(sv)
			}
		}},
		{name: "one rack fails", inject: func(ft *fleet) { crashReplica(ft, 0) }},
		{name: "two racks fail, 40 ms apart", inject: func(ft *fleet) {
			crashReplica(ft, 0)
			ft.schedule(40*ms, func() { crashReplica(ft, 1) })
		}},
		{name: "all servers crash in turn", inject: func(ft *fleet) {
			wait := time.Duration(0)
			for _, shard := range ft.servers {
				for _, sv := range shard {
					ft.schedule(wait, func() { ft.crash(sv) })
					wait += 70 * ms
				}
			}
		}},
		{name: "a fifth of the answers are lost", inject: func(ft *fleet) { ft.lost = 0.2 }},
		{name: "half of the answers are lost", inject: func(ft *fleet) { ft.lost = 0.5 }},
	}
}

// sendCrashing repeats the crashing requests every few seconds, each at one VM or at all.
func (ft *fleet) sendCrashing(sc faultScenario, until time.Duration) {
	for n := range sc.crashing {
		gap := learnWindow + time.Duration(100+ft.rnd.IntN(400))*ms
		for at := time.Second; at < until; at += gap {
			if !sc.everywhere {
				ft.schedule(at, func() { ft.arrive(ft.vms[ft.rnd.IntN(len(ft.vms))], crashingRequest(n), true, 1) })
				continue
			}
			for _, vm := range ft.vms {
				ft.schedule(at, func() { ft.arrive(vm, crashingRequest(n), true, 1) })
			}
		}
	}
}

// Servers crash under requests that are repeated, and for other reasons. A crashing request may
// reach servers a few times at most. No other request may be refused, although others run on the
// servers that crash, are repeated at the same time, and break all at once when a rack fails.
func TestHarmlessRequestsAreNotRefused(t *testing.T) {
	for _, cfg := range fleetConfigs() {
		for _, sc := range faultScenarios() {
			t.Run(cfg.name+", "+sc.name, func(t *testing.T) {
				is := is.New(t)
				ended, served, arrived := 0, 0, 0
				for seed := range *seeds {
					ft := newFleet(cfg, uint64(seed))
					// A crashing request has to arrive several times; the other faults happen
					// once.
					end := 6 * time.Second
					if sc.crashing > 0 {
						end = 20 * time.Second
					}
					ft.sendBackground(end)
					ft.sendRepeated(end)
					ft.sendCrashing(sc, end)
					if sc.inject != nil {
						ft.schedule(time.Second, func() { sc.inject(ft) })
					}
					ft.run(end + time.Second)
					for n := range sc.crashing {
						is.True(ft.lateArrivals(crashingRequest(n)) <= maxLateArrivals)
					}
					is.Equal(ft.counts["others refused"], 0)
					ended += ft.counts["ended"]
					served += ft.counts["others served"]
					arrived += ft.lastRequest
				}
				t.Logf("%d servers crashed per run; %.3f of the other requests served", ended / *seeds, float64(served)/float64(arrived))
			})
		}
	}
}

// fleetConfigByName returns a configuration by its name.
func fleetConfigByName(t *testing.T, name string) fleetConfig {
	t.Helper()
	for _, cfg := range fleetConfigs() {
		if cfg.name == name {
			return cfg
		}
	}
	t.Fatalf("no fleet configuration is named %s", name)
	return fleetConfig{}
}

// Twenty requests crash servers at the same time, and each is repeated every few seconds. Crashes
// are attributed to several of them and thus count for none, so that some reached servers more
// often than allowed: one had crashed ten servers at 1.03 s, and its arrivals at 5.452, 9.898,
// 9.916 and 14.35 s reached servers again.
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
			ft := newFleet(fleetConfigByName(t, tc.fleet), tc.seed)
			ft.sendBackground(end)
			ft.sendCrashing(faultScenario{crashing: crashers}, end)
			ft.run(end + time.Second)
			for n := range crashers {
				is.True(ft.lateArrivals(crashingRequest(n)) <= maxLateArrivals)
			}
			is.Equal(ft.counts["others refused"], 0)
		})
	}
}
