package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/member"
)

// bound is far beyond what any of these takes; how long each takes is measured
// in measure_test.go.
const bound = time.Minute

func TestFleetFindsItself(t *testing.T) {
	for _, tt := range []struct {
		name             string
		n, dataCentres   int
		loss             float64
		halfOfTheListOff bool
	}{
		{"one", 1, 1, 0, false},
		{"two", 2, 1, 0.05, false},
		{"nine in three", 9, 3, 0.05, false},
		{"one in each", 4, 4, 0.05, false},
		{"forty in four", 40, 4, 0.05, false},
		{"half of the list is wrong", 40, 4, 0.05, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			wo := newWorld(1, tt.loss)
			prs := wo.fleet(t, tt.n, tt.dataCentres)
			if tt.halfOfTheListOff {
				// Every other VM is missing from the list, and as many
				// that never were are on it.
				var vms []member.VM
				for i, pr := range prs {
					vm := pr.self
					if i/4%2 == 1 {
						vm.Addr = "10.9." + vm.Addr[5:]
					}
					vms = append(vms, vm)
				}
				wo.list(vms...)
			}
			is.True(wo.run(bound, wo.agree))
		})
	}
}

// faults are what can happen to one VM of a fleet; then says what all others
// must come to hold of it.
var faults = []struct {
	name string
	do   func(t *testing.T, wo *world, pr *proc)
	then func(mb member.Member) bool
}{
	{
		"silent death",
		func(_ *testing.T, _ *world, pr *proc) { pr.dead = true },
		func(mb member.Member) bool { return mb.State() == member.StateGone && mb.Incarnation == 1000 },
	},
	{
		"planned stop",
		func(_ *testing.T, wo *world, pr *proc) { wo.step(pr, member.Leave{}) },
		func(mb member.Member) bool { return mb.State() == member.StateLeaving && mb.Incarnation == 1000 },
	},
	{
		"end of a planned stop",
		func(_ *testing.T, wo *world, pr *proc) {
			wo.step(pr, member.Leave{})
			wo.step(pr, member.Quit{})
			pr.dead = true
		},
		func(mb member.Member) bool { return mb.State() == member.StateGone && mb.Incarnation == 1000 },
	},
	{
		"pause of a minute",
		func(_ *testing.T, wo *world, pr *proc) { wo.pause(pr, time.Minute) },
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation > 1000 },
	},
	{
		"short pause",
		func(_ *testing.T, wo *world, pr *proc) { wo.pause(pr, 700*time.Millisecond) },
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1000 },
	},
	{
		"new process at the address",
		func(t *testing.T, wo *world, pr *proc) {
			wo.boot(t, pr.self.Addr, pr.self.DataCentre, 2000)
			wo.list(wo.vms()...)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 2000 },
	},
	{
		"new process whose clock is behind",
		func(t *testing.T, wo *world, pr *proc) {
			wo.boot(t, pr.self.Addr, pr.self.DataCentre, 500)
			wo.list(wo.vms()...)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1001 },
	},
	{
		"cut off from one other",
		func(_ *testing.T, wo *world, pr *proc) {
			peer := wo.order[len(wo.order)-1]
			wo.cut = func(from, to *proc) bool { return from == peer && to == pr || from == pr && to == peer }
			wo.run(bound, nil)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1000 },
	},
	{
		"others do not hear it from one side",
		func(_ *testing.T, wo *world, pr *proc) {
			peer := wo.order[len(wo.order)-1]
			wo.cut = func(from, to *proc) bool { return from == pr && to == peer }
			wo.run(bound, nil)
		},
		func(mb member.Member) bool { return mb.State() == member.StateLive && mb.Incarnation == 1000 },
	},
}

func TestFaultOfOne(t *testing.T) {
	for _, ft := range faults {
		for _, loss := range []float64{0, 0.05} {
			t.Run(ft.name, func(t *testing.T) {
				is := is.New(t)
				wo := newWorld(2, loss)
				prs := wo.fleet(t, 12, 3)
				is.True(wo.run(bound, wo.agree))
				addr := prs[0].self.Addr
				ft.do(t, wo, prs[0])
				is.True(wo.run(bound, func() bool { return wo.allHold(addr, ft.then) }))
				wo.run(bound, nil)
				is.True(wo.allHold(addr, ft.then))
			})
		}
	}
}

// Two faults come one upon the other, at two VMs of one data centre and at two of
// different ones. What the others come to hold of each is the same as if it had
// come alone.
func TestFaultsInPairs(t *testing.T) {
	for _, one := range faults {
		for _, two := range faults {
			for _, second := range []int{1, 3} {
				t.Run(one.name+" and "+two.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					wo := newWorld(8, 0.01)
					prs := wo.fleet(t, 9, 3)
					is.True(wo.run(bound, wo.agree))
					one.do(t, wo, prs[0])
					two.do(t, wo, prs[second])
					both := func() bool {
						return wo.allHold(prs[0].self.Addr, one.then) && wo.allHold(prs[second].self.Addr, two.then)
					}
					is.True(wo.run(bound, both))
				})
			}
		}
	}
}

func (wo *world) allHold(addr string, then func(member.Member) bool) bool {
	for _, pr := range wo.order {
		if pr.dead {
			continue
		}
		if mb, ok := stateAt(pr, addr); !ok || !then(mb) {
			return false
		}
	}
	return true
}

// A VM stands still for a minute, as when the platform moves it. The others have
// given it up long ago. When it goes on, its timers are all overdue and old
// messages wait to be read; the caller of a VM that believed them would lose
// the whole fleet from its view at once.
func TestPausedVMSpeaksForNobody(t *testing.T) {
	is := is.New(t)
	wo := newWorld(3, 0)
	prs := wo.fleet(t, 12, 3)
	is.True(wo.run(bound, wo.agree))
	pr := prs[0]
	woke := false
	wo.onAct = func(from *proc, ac member.Action) {
		if from != pr {
			return
		}
		switch ac := ac.(type) {
		case member.Woke:
			woke = true
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
	wo.pause(pr, time.Minute)
	is.True(woke)
	is.True(pr.ma.Recovering())
	is.True(wo.run(bound, wo.agree))
	is.True(!pr.ma.Recovering())
}

// A VM that is no relay knows of the other data centres by what its neighbours
// tell. None may hold one for cut off while all is well, whoever its neighbours
// are and in whatever order messages come.
func TestHealthyDataCentresAreReachable(t *testing.T) {
	for seed := range 20 {
		is := is.New(t)
		wo := newWorld(uint64(seed), 0.01)
		prs := wo.fleet(t, 9+seed, 3)
		is.True(wo.run(bound, wo.agree))
		wo.run(bound/2, nil)
		for range 30 {
			wo.run(time.Second, nil)
			for _, pr := range prs {
				for _, name := range pr.ma.DataCentres() {
					is.True(pr.ma.Reachable(name))
				}
			}
		}
	}
}

// Nothing passes between two data centres and the third. Each side goes on with
// what it knows and gives nobody up over there: a caller's view of the others'
// shares must not change because a cable was cut. A VM that dies meanwhile is
// given up over there once the cable is back, and a new one is found.
func TestPartitionBetweenDataCentres(t *testing.T) {
	is := is.New(t)
	wo := newWorld(4, 0.01)
	prs := wo.fleet(t, 12, 3)
	is.True(wo.run(bound, wo.agree))
	wo.cut = func(from, to *proc) bool { return (from.self.DataCentre == "dc00") != (to.self.DataCentre == "dc00") }
	wo.run(bound, nil)
	for _, pr := range prs {
		is.Equal(len(pr.ma.Live()), 12)
		is.Equal(pr.ma.Reachable("dc00"), pr.self.DataCentre == "dc00")
		is.Equal(pr.ma.Reachable("dc01"), pr.self.DataCentre != "dc00")
	}
	prs[0].dead = true
	wo.boot(t, addrOf(100), "dc00", 3000)
	wo.list(wo.vms()...)
	wo.run(bound, nil)
	wo.cut = func(_, _ *proc) bool { return false }
	is.True(wo.run(bound, wo.agree))
}

// All VMs of a data centre are replaced while it is cut off. No VM that the
// others know there lives any more: they must find the new ones by the list, and
// learn from them that the old ones are gone.
func TestDataCentreReplacedWhileCutOff(t *testing.T) {
	is := is.New(t)
	wo := newWorld(5, 0.01)
	prs := wo.fleet(t, 9, 3)
	is.True(wo.run(bound, wo.agree))
	wo.cut = func(from, to *proc) bool { return (from.self.DataCentre == "dc00") != (to.self.DataCentre == "dc00") }
	for i := range 3 {
		prs[3*i].dead = true
		wo.boot(t, addrOf(100+i), "dc00", 3000)
	}
	wo.list(wo.vms()...)
	wo.run(bound, nil)
	wo.cut = func(_, _ *proc) bool { return false }
	is.True(wo.run(bound, wo.agree))
}

// A data centre falls into two halves. Each gives the other up. When they are
// one again, every VM of the smaller half, given up by the larger, and the other
// way round, must come back as a new incarnation.
func TestDataCentreSplitAndHealed(t *testing.T) {
	is := is.New(t)
	wo := newWorld(6, 0.01)
	prs := wo.fleet(t, 12, 1)
	is.True(wo.run(bound, wo.agree))
	side := map[*proc]bool{}
	for i, pr := range prs {
		side[pr] = i < 5
	}
	wo.cut = func(from, to *proc) bool { return side[from] != side[to] }
	wo.run(bound, nil)
	is.Equal(len(prs[0].ma.Live()), 5)
	is.Equal(len(prs[11].ma.Live()), 7)
	wo.cut = func(_, _ *proc) bool { return false }
	is.True(wo.run(bound, wo.agree))
}

// A VM's own link is down. It hears from nobody, and must not conclude that all
// the others are gone.
func TestCutOffVMBlamesNobody(t *testing.T) {
	is := is.New(t)
	wo := newWorld(7, 0)
	prs := wo.fleet(t, 9, 3)
	is.True(wo.run(bound, wo.agree))
	wo.cut = func(from, to *proc) bool { return from == prs[0] || to == prs[0] }
	wo.run(bound, nil)
	gone := 0
	for _, mb := range prs[0].ma.Members() {
		if mb.State() == member.StateGone {
			gone++
		}
	}
	is.Equal(gone, 0)
	mb, _ := stateAt(prs[3], prs[0].self.Addr)
	is.Equal(mb.State(), member.StateGone)
}
