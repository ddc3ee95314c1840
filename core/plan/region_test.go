package plan_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// Requests of a route with regions go only to servers and VMs in these regions, whichever VM
// the client reached. The region of data centre d is not known, which excludes it.
func TestRequestsStayInRegions(t *testing.T) {
	is := is.New(t)
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	shards := []string{"s0", "s1"}
	rt := &route.Route{Idempotent: true, Regions: []string{"north"}, Gather: &route.Gather{Shards: shards}}
	once := &route.Route{Regions: []string{"north"}, Split: []route.Share{{Service: "s0", Weight: 1}}}
	everywhere := &route.Route{Idempotent: true, Gather: &route.Gather{Shards: shards}}
	var ups []*origin.Upstream
	var fleet []rank.VM
	capacity := map[string]float64{}
	for _, dataCentre := range []string{"a", "b", "c", "d"} {
		for _, service := range shards {
			ups = append(ups, &origin.Upstream{ID: service + dataCentre, Service: service, DataCentre: dataCentre})
		}
		for i, size := range largeAndSmall(2, 6) {
			vm := rank.VM{Addr: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre}
			fleet, capacity[vm.Addr] = append(fleet, vm), size
		}
	}
	tb := route.New(route.Config{Routes: []route.Route{*rt}})
	for _, self := range fleet {
		vw := plan.New(plan.Config{Self: self, Regions: regions, Routes: tb, Upstreams: origin.New(ups)}).WithFleet(fleet, capacity)
		is.Equal(len(vw.FilterByRegion(rt, vw.Candidates("s0"))), 2)
		is.Equal(len(vw.FilterByRegion(everywhere, vw.Candidates("s0"))), 4)
		is.Equal(vw.LocalServersSufficeFor(rt), regions[self.DataCentre] == "north")
		others := append(vw.ForwardTargets(rt), vw.ForwardTargets(once)...)
		for key := range uint64(20) {
			others = append(others, vw.Owners(rt, key, 2)...)
		}
		for _, vm := range others {
			is.Equal(regions[vm.DataCentre], "north")
		}
		if capacity[self.Addr] < 0.5 {
			is.Equal(len(vw.ForwardTargets(rt)), 4)
		}
	}
}
