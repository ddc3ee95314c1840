package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/member"
)

// timeLimit is far above the time that any of these tests needs in virtual time; measure_test.go
// measures the actual times.
const timeLimit = time.Minute

func TestFleetConverges(t *testing.T) {
	for _, tt := range []struct {
		name           string
		n, dataCentres int
		loss           float64
		halfListWrong  bool
	}{
		{"one", 1, 1, 0, false},
		{"two", 2, 1, 0.05, false},
		{"nine in three data centres", 9, 3, 0.05, false},
		{"one in each data centre", 4, 4, 0.05, false},
		{"forty in four data centres", 40, 4, 0.05, false},
		{"half of the VM list is wrong", 40, 4, 0.05, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, tt.loss)
			prs := sim.fleet(t, tt.n, tt.dataCentres)
			if tt.halfListWrong {
				// Every other VM is missing from the list, and as many VMs that do not exist are on
				// it.
				var vms []member.VM
				for i, pr := range prs {
					vm := pr.self
					if i/4%2 == 1 {
						vm.Addr = "10.9." + vm.Addr[5:]
					}
					vms = append(vms, vm)
				}
				sim.setList(vms...)
			}
			is.True(sim.run(timeLimit, sim.converged))
		})
	}
}

// faults are the faults of one VM; want reports whether another VM's final state of it is correct.
var faults = []struct {
	name string
	do   func(t *testing.T, sim *simulation, pr *proc)
	want func(mb member.Member) bool
}{
	{
		"crash",
		func(_ *testing.T, _ *simulation, pr *proc) { pr.dead = true },
		func(mb member.Member) bool { return mb.State() == member.StateGone && mb.Incarnation == 1000 },
	},
	{
		"planned stop",
		func(_ *testing.T, sim *simulation, pr *proc) { sim.step(pr, member.Leave{}) },
		func(mb member.Member) bool { return mb.State() == member.StateLeaving && mb.Incarnation == 1000 },
	},
	{
		"end of a planned stop",
		func(_ *testing.T, sim *simulation, pr *proc) {
			sim.step(pr, member.Leave{})
			sim.step(pr, member.Quit{})
			pr.dead = true
		},
		func(mb member.Member) bool { return mb.State() == member.StateGone && mb.Incarnation == 1000 },
	},
	{
		"pause of a minute",
		func(_ *testing.T, sim *simulation, pr *proc) { sim.pause(pr, time.Minute) },
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation > 1000 },
	},
	{
		"short pause",
		func(_ *testing.T, sim *simulation, pr *proc) { sim.pause(pr, 700*time.Millisecond) },
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1000 },
	},
	{
		"new process at the same address",
		func(t *testing.T, sim *simulation, pr *proc) {
			sim.boot(t, pr.self.Addr, pr.self.DataCentre, 2000)
			sim.setList(sim.vms()...)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 2000 },
	},
	{
		"new process whose clock is behind",
		func(t *testing.T, sim *simulation, pr *proc) {
			sim.boot(t, pr.self.Addr, pr.self.DataCentre, 500)
			sim.setList(sim.vms()...)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1001 },
	},
	{
		"no connection to one other VM",
		func(_ *testing.T, sim *simulation, pr *proc) {
			peer := sim.order[len(sim.order)-1]
			sim.blocked = func(from, to *proc) bool { return from == peer && to == pr || from == pr && to == peer }
			sim.run(timeLimit, nil)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1000 },
	},
	{
		"everything sent to one other VM is lost",
		func(_ *testing.T, sim *simulation, pr *proc) {
			peer := sim.order[len(sim.order)-1]
			sim.blocked = func(from, to *proc) bool { return from == pr && to == peer }
			sim.run(timeLimit, nil)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1000 },
	},
}

func TestSingleFault(t *testing.T) {
	for _, ft := range faults {
		for _, loss := range []float64{0, 0.05} {
			t.Run(ft.name, func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(2, loss)
				prs := sim.fleet(t, 12, 3)
				is.True(sim.run(timeLimit, sim.converged))
				addr := prs[0].self.Addr
				ft.do(t, sim, prs[0])
				is.True(sim.run(timeLimit, func() bool { return sim.allObserve(addr, ft.want) }))
				sim.run(timeLimit, nil)
				is.True(sim.allObserve(addr, ft.want))
			})
		}
	}
}

// Two faults overlap, at two VMs of the same data centre or of different ones. The final state of
// each VM must be the same as if its fault had come alone.
func TestFaultPairs(t *testing.T) {
	for _, one := range faults {
		for _, two := range faults {
			for _, second := range []int{1, 3} {
				t.Run(one.name+" and "+two.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					sim := newSimulation(8, 0.01)
					prs := sim.fleet(t, 9, 3)
					is.True(sim.run(timeLimit, sim.converged))
					one.do(t, sim, prs[0])
					two.do(t, sim, prs[second])
					both := func() bool {
						return sim.allObserve(prs[0].self.Addr, one.want) && sim.allObserve(prs[second].self.Addr, two.want)
					}
					is.True(sim.run(timeLimit, both))
				})
			}
		}
	}
}

func (sim *simulation) allObserve(addr string, want func(member.Member) bool) bool {
	for _, pr := range sim.order {
		if pr.dead {
			continue
		}
		if mb, ok := viewOf(pr, addr); !ok || !want(mb) {
			return false
		}
	}
	return true
}

// A VM is paused for a minute, as during a live migration, and the others have declared it gone. On
// resumption all its timers are overdue and old messages wait to be read. If it acted on them, it
// would declare the whole fleet gone at once.
func TestPausedVMReportsOnlyItself(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3, 0)
	prs := sim.fleet(t, 12, 3)
	is.True(sim.run(timeLimit, sim.converged))
	pr := prs[0]
	resumed := false
	sim.onAction = func(from *proc, ac member.Action) {
		if from != pr {
			return
		}
		switch ac := ac.(type) {
		case member.Resumed:
			resumed = true
			is.True(ac.Pause >= 59*time.Second)
		case member.Send:
			if pr.ma.Joining() {
				is.Equal(len(ac.Message.Members), 0)
				is.True(ac.Message.Joining)
			}
		case member.Changed:
			is.True(ac.Member.State() != member.StateGone)
			is.True(ac.Member.State() != member.StateSuspect)
		}
	}
	sim.pause(pr, time.Minute)
	is.True(resumed)
	is.True(pr.ma.Recovering())
	is.True(sim.run(timeLimit, sim.converged))
	is.True(!pr.ma.Recovering())
}

// A VM that is not a relay learns the reachability of other data centres from its neighbours. None
// may consider one unreachable in a healthy fleet, whoever its neighbours are and in whatever order
// messages arrive.
func TestHealthyDataCentresAreReachable(t *testing.T) {
	for seed := range 20 {
		is := is.New(t)
		sim := newSimulation(uint64(seed), 0.01)
		prs := sim.fleet(t, 9+seed, 3)
		is.True(sim.run(timeLimit, sim.converged))
		sim.run(timeLimit/2, nil)
		for range 30 {
			sim.run(time.Second, nil)
			for _, pr := range prs {
				for _, name := range pr.ma.DataCentres() {
					is.True(pr.ma.Reachable(name))
				}
			}
		}
	}
}

// One data centre is partitioned from the two others. Each side keeps its view of the other and
// declares none of its VMs gone: the shares computed from the membership must not change because of
// a network cut. After the partition, a VM that died meanwhile is declared gone and a new one is
// discovered.
func TestPartitionBetweenDataCentres(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(4, 0.01)
	prs := sim.fleet(t, 12, 3)
	is.True(sim.run(timeLimit, sim.converged))
	sim.blocked = func(from, to *proc) bool { return (from.self.DataCentre == "dc00") != (to.self.DataCentre == "dc00") }
	sim.run(timeLimit, nil)
	for _, pr := range prs {
		is.Equal(len(pr.ma.Live()), 12)
		is.Equal(pr.ma.Reachable("dc00"), pr.self.DataCentre == "dc00")
		is.Equal(pr.ma.Reachable("dc01"), pr.self.DataCentre != "dc00")
	}
	prs[0].dead = true
	sim.boot(t, addrOf(100), "dc00", 3000)
	sim.setList(sim.vms()...)
	sim.run(timeLimit, nil)
	sim.blocked = func(_, _ *proc) bool { return false }
	is.True(sim.run(timeLimit, sim.converged))
}

// All VMs of a data centre are replaced during a partition. None of the VMs known to the other side
// exists any more, so it must find the new ones through the VM list and learn from them that the
// old ones are gone.
func TestDataCentreReplacedWhilePartitioned(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(5, 0.01)
	prs := sim.fleet(t, 9, 3)
	is.True(sim.run(timeLimit, sim.converged))
	sim.blocked = func(from, to *proc) bool { return (from.self.DataCentre == "dc00") != (to.self.DataCentre == "dc00") }
	for i := range 3 {
		prs[3*i].dead = true
		sim.boot(t, addrOf(100+i), "dc00", 3000)
	}
	sim.setList(sim.vms()...)
	sim.run(timeLimit, nil)
	sim.blocked = func(_, _ *proc) bool { return false }
	is.True(sim.run(timeLimit, sim.converged))
}

// A data centre is split into two parts, and each declares the VMs of the other gone. After the
// split is healed, all of them must come back under new incarnations.
func TestDataCentreSplitAndHealed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, 0.01)
	prs := sim.fleet(t, 12, 1)
	is.True(sim.run(timeLimit, sim.converged))
	side := map[*proc]bool{}
	for i, pr := range prs {
		side[pr] = i < 5
	}
	sim.blocked = func(from, to *proc) bool { return side[from] != side[to] }
	sim.run(timeLimit, nil)
	is.Equal(len(prs[0].ma.Live()), 5)
	is.Equal(len(prs[11].ma.Live()), 7)
	sim.blocked = func(_, _ *proc) bool { return false }
	is.True(sim.run(timeLimit, sim.converged))
}

// A VM is isolated from all others. It receives nothing and must not declare the others gone.
func TestIsolatedVMDeclaresNoneGone(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(7, 0)
	prs := sim.fleet(t, 9, 3)
	is.True(sim.run(timeLimit, sim.converged))
	sim.blocked = func(from, to *proc) bool { return from == prs[0] || to == prs[0] }
	sim.run(timeLimit, nil)
	gone := 0
	for _, mb := range prs[0].ma.Members() {
		if mb.State() == member.StateGone {
			gone++
		}
	}
	is.Equal(gone, 0)
	mb, _ := viewOf(prs[3], prs[0].self.Addr)
	is.Equal(mb.State(), member.StateGone)
}
