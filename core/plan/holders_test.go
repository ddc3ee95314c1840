package plan_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/plan"
	"laburnumvane/core/rank"
)

func accountFleet(vms, centres, large int) ([]rank.VM, map[string]float64) {
	var fleet []rank.VM
	capacity := map[string]float64{}
	for i := range vms {
		vm := rank.VM{Addr: fmt.Sprintf("10.%d.%d.%d:1", i%centres, i/250, i%250), DataCentre: fmt.Sprint("dc", i%centres)}
		capacity[vm.Addr] = 0.16
		if i < large*centres {
			capacity[vm.Addr] = 0.8
		}
		fleet = append(fleet, vm)
	}
	return fleet, capacity
}

// All VMs must agree on the holders of an account: if some counted others, more parts of the limit
// would be in use than there are.
func TestAllVMsAgreeOnHolders(t *testing.T) {
	for _, large := range []int{0, 1, 2, 4} {
		t.Run(fmt.Sprint(large, " large in each data centre"), func(t *testing.T) {
			is := is.New(t)
			fleet, capacity := accountFleet(30, 3, large)
			for a := range 20 {
				name := fmt.Sprint("account-", a)
				want := map[string]int{}
				for _, self := range fleet {
					ho := plan.New(plan.Config{Self: self}).WithFleet(fleet, capacity).Holders(name)
					ranks := map[string]int{}
					local := 0
					for _, pe := range ho.Peers {
						ranks[pe.Addr] = pe.Rank
						if pe.Local {
							local++
						}
					}
					if ho.Rank >= 0 {
						ranks[self.Addr] = ho.Rank
						local++
					}
					is.Equal(local, ho.Local)
					is.Equal(len(ranks), 6)
					if len(want) == 0 {
						want = ranks
					}
					is.Equal(ranks, want)
				}
				for addr, position := range want {
					if position < large {
						is.Equal(capacity[addr], 0.8) // the small VM would be short of processor time
					}
				}
			}
		})
	}
}

// A VM that is not in the store must not count itself: others do not know it and divide the limit
// without it.
func TestUnlistedVMIsNoHolder(t *testing.T) {
	is := is.New(t)
	fleet, capacity := accountFleet(6, 3, 0)
	self := rank.VM{Addr: "10.0.0.99:1", DataCentre: "dc0"}
	vw := plan.New(plan.Config{Self: self}).WithFleet(fleet, capacity)
	ho := vw.Holders("a")
	is.Equal(ho.Rank, -1)
	is.True(!ho.Fleet.Listed)
	is.Equal(len(ho.Peers), 6)
	is.Equal(vw.WithRoutes(nil).Holders("a"), ho) // the cache survives a change of the routes
	is.True(vw.WithFleet(append(slices.Clone(fleet), self), capacity).Holders("a").Fleet.Listed)
}

// When a VM leaves, the accounts that it did not hold must keep their holders: each moved bucket
// starts nearly empty.
func TestHoldersStayWhenAnotherVMLeaves(t *testing.T) {
	is := is.New(t)
	fleet, capacity := accountFleet(90, 3, 0)
	before := plan.New(plan.Config{Self: fleet[1]}).WithFleet(fleet, capacity)
	after := before.WithFleet(fleet[:89], capacity)
	for a := range 100 {
		name := fmt.Sprint("account-", a)
		was, now := before.Holders(name), after.Holders(name)
		held := false
		for _, pe := range was.Peers {
			held = held || pe.Addr == fleet[89].Addr
		}
		if !held {
			is.Equal(was.Peers, now.Peers)
		}
	}
}

// The holders of an account are found once for each fleet, and must not take the time of sorting
// 4,300 VMs; later requests only look them up.
func BenchmarkHolders(b *testing.B) {
	fleet, capacity := accountFleet(4300, 13, 2)
	even, _ := accountFleet(4300, 13, 0)
	for _, tc := range []struct {
		name string
		vms  []rank.VM
	}{{"2 large VMs in each data centre", fleet}, {"equal VMs", even}} {
		vw := plan.New(plan.Config{Self: fleet[0]})
		if tc.name == "equal VMs" {
			vw = vw.WithFleet(tc.vms, nil)
		} else {
			vw = vw.WithFleet(tc.vms, capacity)
		}
		b.Run(tc.name+"/first", func(b *testing.B) {
			names := make([]string, 20_000)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				vw.Holders(names[n%len(names)])
			}
		})
		b.Run(tc.name+"/again", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				vw.Holders("account-1")
			}
		})
	}
}

// A holder whose copy of the store is old asks the VMs that could take its place. If it did not know one of
// them, both could use the same part of a limit.
func TestSuccessorsAreTheNextHolders(t *testing.T) {
	for _, large := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(large, " large in each data centre"), func(t *testing.T) {
			is := is.New(t)
			fleet, capacity := accountFleet(30, 3, large)
			for a := range 20 {
				name := fmt.Sprint("account-", a)
				for n, self := range fleet {
					ho := plan.New(plan.Config{Self: self}).WithFleet(fleet, capacity).Holders(name)
					if ho.Rank < 0 {
						continue
					}
					is.Equal(len(ho.Successors), 2)
					is.True(!slices.Contains(ho.Successors, self.Addr))
					// Without this VM the other holder and the first successor are the holders.
					rest := slices.Delete(slices.Clone(fleet), n, n+1)
					other := plan.New(plan.Config{Self: self}).WithFleet(rest, capacity).Holders(name)
					local := []string{ho.Peers[0].Addr, ho.Successors[0]}
					is.True(slices.Contains(local, other.Peers[0].Addr) && slices.Contains(local, other.Peers[1].Addr))
				}
			}
		})
	}
}
