package plan_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/plan"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// All repeats of a request must reach the same VM, whichever VM they arrive at. With several
// owners, each would try the request at a different server.
func TestAllVMsAgreeOnOwner(t *testing.T) {
	is := is.New(t)
	var fleet []rank.VM
	for i := range 9 {
		fleet = append(fleet, rank.VM{Addr: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: []string{"a", "b", "c"}[i%3]})
	}
	rt := &route.Route{Idempotent: true}
	owned := map[string]int{}
	const keys = 900
	for key := range uint64(keys) {
		owner := ""
		for _, self := range fleet {
			vw := plan.New(plan.Config{Self: self}).WithFleet(fleet, nil)
			ownerAddr := self.Addr
			owners := vw.Owners(rt, key, 2)
			if len(owners) > 0 {
				ownerAddr = owners[0].Addr
			}
			is.True(len(owners) <= 2)
			if owner == "" {
				owner = ownerAddr
			}
			is.Equal(ownerAddr, owner)
		}
		owned[owner]++
	}
	for _, vm := range fleet {
		is.True(owned[vm.Addr] > keys/len(fleet)/2) // none owns less than half of its fair share
	}
}

// In an uneven fleet only large VMs own requests: a small VM needs tens of milliseconds for a
// gather.
func TestOwnersAreLargeVMs(t *testing.T) {
	is := is.New(t)
	capacity := map[string]float64{}
	var fleet []rank.VM
	for i := range 9 {
		vm := rank.VM{Addr: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: "a"}
		capacity[vm.Addr] = 0.2
		if i < 2 {
			capacity[vm.Addr] = 0.8
		}
		fleet = append(fleet, vm)
	}
	for key := range uint64(50) {
		for _, self := range fleet[2:] {
			owners := plan.New(plan.Config{Self: self}).WithFleet(fleet, capacity).Owners(&route.Route{}, key, 2)
			is.Equal(len(owners), 2)
			for _, ow := range owners {
				is.Equal(capacity[ow.Addr], 0.8)
			}
		}
	}
}
