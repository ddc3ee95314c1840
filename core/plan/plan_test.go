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

const connections = 71

// site is a fleet over shards with one server in each of three data centres.
type site struct {
	vms      []rank.VM
	capacity map[string]float64
	dir      *origin.Directory
	routes   *route.Table
}

func newSite(shards int, sizes map[string][]float64) site {
	si := site{capacity: map[string]float64{}}
	for place, capacities := range sizes {
		for i, capacity := range capacities {
			vm := rank.VM{Addr: fmt.Sprintf("%s-%d", place, i), DataCentre: place}
			si.vms = append(si.vms, vm)
			si.capacity[vm.Addr] = capacity
		}
	}
	cfg := route.Config{}
	var names []string
	var ups []*origin.Upstream
	for s := range shards {
		name := fmt.Sprintf("s%d", s)
		names = append(names, name)
		cfg.Services = append(cfg.Services, route.Service{Name: name, MaxConnections: connections})
		for _, place := range []string{"a", "b", "c"} {
			ups = append(ups, &origin.Upstream{ID: name + place, Service: name, DataCentre: place})
		}
	}
	cfg.Routes = []route.Route{
		{Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Gather: &route.Gather{Shards: names}},
		{Name: "one", Host: "h", Prefix: "/one/", Idempotent: true, Split: []route.Share{{Service: "t", Weight: 1}}},
		{Name: "once", Host: "h", Prefix: "/once/", Split: []route.Share{{Service: "t", Weight: 1}}},
	}
	si.dir = origin.New(ups)
	si.routes = route.New(cfg)
	return si
}

func (si site) view(self rank.VM) *plan.View {
	return plan.New(plan.Config{Routes: si.routes, Upstreams: si.dir, Self: self, Fleet: si.vms, Capacity: si.capacity})
}

func same(n int, capacity float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = capacity
	}
	return out
}

func mixed(large, small int) []float64 {
	return append(same(large, 0.8), same(small, 0.2)...)
}

// All VMs divide a server's connections without asking each other. Together they
// must not open more than it accepts, or requests would end with resets, and each
// VM must reach two servers of nearly every shard.
func TestConnectionsOfAllVMs(t *testing.T) {
	cases := []struct {
		name  string
		sizes map[string][]float64
	}{
		{"few VMs", map[string][]float64{"a": same(3, 0.4), "b": same(3, 0.4), "c": same(3, 0.4)}},
		{"more VMs than connections", map[string][]float64{"a": same(26, 0.2), "b": same(30, 0.2), "c": same(22, 0.2)}},
		{"VMs beside no server", map[string][]float64{"a": same(20, 0.2), "b": same(20, 0.2), "c": same(20, 0.2), "d": same(20, 0.2)}},
		{"a few large VMs", map[string][]float64{"a": mixed(2, 25), "b": mixed(2, 27), "c": mixed(2, 20)}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			si := newSite(6, tc.sizes)
			sum := map[string]int{}
			reached, pairs := 0, 0
			for _, vm := range si.vms {
				vw := si.view(vm)
				some, large := vw.Large()
				si.dir.All(func(up *origin.Upstream) {
					if !some || large {
						sum[up.ID] += vw.Limits(up).Most
					}
				})
				for s := range 6 {
					pairs++
					if len(vw.Candidates(fmt.Sprintf("s%d", s))) >= 2 {
						reached++
					}
				}
			}
			for _, n := range sum {
				is.True(n <= connections)
			}
			is.True(reached*10 >= pairs*8)
		})
	}
}

func TestHomes(t *testing.T) {
	cases := []struct {
		name string
		// self is the first VM of the place with that capacity.
		place    string
		capacity float64
		sizes    map[string][]float64
		route    string
		want     []string
	}{
		{"equal VMs", "a", 0.4, map[string][]float64{"a": same(2, 0.4), "b": same(2, 0.4)}, "/all/", nil},
		{"small VM", "a", 0.2, map[string][]float64{"a": mixed(1, 3), "b": mixed(1, 3)}, "/all/", []string{"a-0", "b-0"}},
		{"large VM", "a", 0.8, map[string][]float64{"a": mixed(1, 3), "b": mixed(1, 3)}, "/all/", nil},
		{"large VM beside no server", "d", 0.8, map[string][]float64{"a": mixed(1, 3), "d": mixed(1, 3)}, "/all/", []string{"a-0"}},
		{"equal VM beside no server", "d", 0.4, map[string][]float64{"a": same(2, 0.4), "d": same(2, 0.4)}, "/all/", []string{"a-0", "a-1"}},
		{"small VM, one server", "a", 0.2, map[string][]float64{"a": mixed(1, 3)}, "/one/", []string{"a-0"}},
		{"not repeatable", "a", 0.2, map[string][]float64{"a": mixed(1, 3)}, "/once/", nil},
		{"few VMs", "a", 0.2, map[string][]float64{"a": mixed(1, 2)}, "/all/", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			si := newSite(3, tc.sizes)
			var self rank.VM
			for _, vm := range si.vms {
				if vm.DataCentre == tc.place && si.capacity[vm.Addr] == tc.capacity {
					self = vm
				}
			}
			rt, ok := si.routes.Match("h", tc.route)
			is.True(ok)
			got := map[string]bool{}
			for _, ho := range si.view(self).Homes(rt) {
				got[ho.Addr] = true
			}
			is.Equal(len(got), len(tc.want))
			for _, addr := range tc.want {
				is.True(got[addr])
			}
		})
	}
}

// The parts of what all VMs may send beyond first attempts must not add up to
// more than there is.
func TestExtraParts(t *testing.T) {
	for _, sizes := range []map[string][]float64{
		{"a": same(4, 0.4), "b": same(5, 0.4)},
		{"a": mixed(2, 25), "b": mixed(2, 20)},
	} {
		is := is.New(t)
		si := newSite(1, sizes)
		sum := 0.0
		for _, vm := range si.vms {
			sum += si.view(vm).ExtraPart()
		}
		is.True(sum <= 1.0001)
	}
}

// The servers of which a VM has connections are all leaving. It must use others'
// reserve rather than refuse.
func TestReserveWhereNoneTakes(t *testing.T) {
	is := is.New(t)
	si := newSite(1, map[string][]float64{"a": same(60, 0.2), "b": same(60, 0.2)})
	for _, vm := range si.vms {
		var ups []*origin.Upstream
		vw := si.view(vm)
		for _, up := range si.dir.Of("s0") {
			if vw.Limits(up).Most > 0 {
				up = up.WithLeaving()
			}
			ups = append(ups, up)
		}
		takes := false
		for _, up := range vw.WithUpstreams(origin.New(ups)).Candidates("s0") {
			takes = takes || up.Takes()
		}
		all := true
		for _, up := range ups {
			all = all && up.Leaving
		}
		is.True(takes || all)
	}
}

// A data centre is cut off, and a VM elsewhere doubts for a moment that it is reached
// itself: it asks two VMs. If both stood in the one that is cut off, neither would
// answer, and a sound VM would leave the rotation.
func TestFarVMs(t *testing.T) {
	cases := []struct {
		name   string
		sizes  map[string][]float64
		n      int
		drawn  int
		places int
	}{
		{"three others", map[string][]float64{"a": same(3, 1), "b": same(2, 1), "c": same(4, 1), "d": same(1, 1)}, 2, 2, 2},
		{"one other", map[string][]float64{"a": same(1, 1), "b": same(3, 1)}, 2, 2, 1},
		{"one other, one VM", map[string][]float64{"a": same(2, 1), "b": same(1, 1)}, 2, 1, 1},
		{"none", map[string][]float64{"a": same(4, 1)}, 2, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			si := newSite(1, tc.sizes)
			vw := si.view(rank.VM{Addr: "a-0", DataCentre: "a"})
			for _, draw := range []float64{0, 0.3, 0.6, 0.99} {
				seen, places := map[string]bool{}, map[string]bool{}
				for _, vm := range vw.FarVMs(tc.n, func() float64 { return draw }) {
					is.True(vm.DataCentre != "a")
					seen[vm.Addr], places[vm.DataCentre] = true, true
				}
				is.Equal(len(seen), tc.drawn)
				is.Equal(len(places), tc.places)
			}
		})
	}
}
