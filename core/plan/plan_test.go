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

const serverConnections = 71

// testFleet is a fleet of VMs, and shards with one server in each of three data centres.
type testFleet struct {
	vms      []rank.VM
	capacity map[string]float64
	dir      *origin.Directory
	routes   *route.Table
}

func newTestFleet(shards int, sizes map[string][]float64) testFleet {
	si := testFleet{capacity: map[string]float64{}}
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
		cfg.Services = append(cfg.Services, route.Service{Name: name, MaxConnections: serverConnections})
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

func (si testFleet) view(self rank.VM) *plan.View {
	return plan.New(plan.Config{Routes: si.routes, Upstreams: si.dir, Self: self, Fleet: si.vms, Capacity: si.capacity})
}

func capacities(n int, capacity float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = capacity
	}
	return out
}

func largeAndSmall(large, small int) []float64 {
	return append(capacities(large, 0.8), capacities(small, 0.2)...)
}

// All VMs divide a server's connections without coordination. Together they must not open
// more than the server accepts, or it resets some and requests fail. Nearly every VM must
// also have two servers for nearly every shard.
func TestFleetStaysWithinServerConnections(t *testing.T) {
	cases := []struct {
		name  string
		sizes map[string][]float64
	}{
		{"few VMs", map[string][]float64{"a": capacities(3, 0.4), "b": capacities(3, 0.4), "c": capacities(3, 0.4)}},
		{"more VMs than connections", map[string][]float64{"a": capacities(26, 0.2), "b": capacities(30, 0.2), "c": capacities(22, 0.2)}},
		{"VMs in a data centre without servers", map[string][]float64{"a": capacities(20, 0.2), "b": capacities(20, 0.2), "c": capacities(20, 0.2), "d": capacities(20, 0.2)}},
		{"a few large VMs", map[string][]float64{"a": largeAndSmall(2, 25), "b": largeAndSmall(2, 27), "c": largeAndSmall(2, 20)}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			si := newTestFleet(6, tc.sizes)
			sum := map[string]int{}
			reached, pairs := 0, 0
			for _, vm := range si.vms {
				vw := si.view(vm)
				some, large := vw.Large()
				si.dir.All(func(up *origin.Upstream) {
					if !some || large {
						sum[up.ID] += vw.Limits(up).Max
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
				is.True(n <= serverConnections)
			}
			is.True(reached*10 >= pairs*8)
		})
	}
}

func TestForwardTargets(t *testing.T) {
	cases := []struct {
		name string
		// self is the last VM of the data centre with that capacity.
		place    string
		capacity float64
		sizes    map[string][]float64
		route    string
		want     []string
	}{
		{"equal VMs", "a", 0.4, map[string][]float64{"a": capacities(2, 0.4), "b": capacities(2, 0.4)}, "/all/", nil},
		{"small VM", "a", 0.2, map[string][]float64{"a": largeAndSmall(1, 3), "b": largeAndSmall(1, 3)}, "/all/", []string{"a-0", "b-0"}},
		{"large VM", "a", 0.8, map[string][]float64{"a": largeAndSmall(1, 3), "b": largeAndSmall(1, 3)}, "/all/", nil},
		{"large VM in a data centre without servers", "d", 0.8, map[string][]float64{"a": largeAndSmall(1, 3), "d": largeAndSmall(1, 3)}, "/all/", []string{"a-0"}},
		{"equal VM in a data centre without servers", "d", 0.4, map[string][]float64{"a": capacities(2, 0.4), "d": capacities(2, 0.4)}, "/all/", []string{"a-0", "a-1"}},
		{"small VM, single service", "a", 0.2, map[string][]float64{"a": largeAndSmall(1, 3)}, "/one/", []string{"a-0"}},
		{"not repeatable", "a", 0.2, map[string][]float64{"a": largeAndSmall(1, 3)}, "/once/", nil},
		{"too few VMs", "a", 0.2, map[string][]float64{"a": largeAndSmall(1, 2)}, "/all/", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			si := newTestFleet(3, tc.sizes)
			var self rank.VM
			for _, vm := range si.vms {
				if vm.DataCentre == tc.place && si.capacity[vm.Addr] == tc.capacity {
					self = vm
				}
			}
			rt, ok := si.routes.Match("h", tc.route)
			is.True(ok)
			got := map[string]bool{}
			for _, ho := range si.view(self).ForwardTargets(rt) {
				got[ho.Addr] = true
			}
			is.Equal(len(got), len(tc.want))
			for _, addr := range tc.want {
				is.True(got[addr])
			}
		})
	}
}

// The shares of extra attempts of all VMs must not add up to more than the whole.
func TestExtraPartsSumToAtMostOne(t *testing.T) {
	for _, sizes := range []map[string][]float64{
		{"a": capacities(4, 0.4), "b": capacities(5, 0.4)},
		{"a": largeAndSmall(2, 25), "b": largeAndSmall(2, 20)},
	} {
		is := is.New(t)
		si := newTestFleet(1, sizes)
		sum := 0.0
		for _, vm := range si.vms {
			sum += si.view(vm).ExtraShare()
		}
		is.True(sum <= 1.0001)
	}
}

// If all servers to which a VM has connections are leaving, it must use the reserved
// connections of other servers instead of refusing requests.
func TestUsesReserveWhenServersLeave(t *testing.T) {
	is := is.New(t)
	si := newTestFleet(1, map[string][]float64{"a": capacities(60, 0.2), "b": capacities(60, 0.2)})
	for _, vm := range si.vms {
		var ups []*origin.Upstream
		vw := si.view(vm)
		for _, up := range si.dir.OfService("s0") {
			if vw.Limits(up).Max > 0 {
				up = up.WithLeaving()
			}
			ups = append(ups, up)
		}
		accepting := false
		for _, up := range vw.WithUpstreams(origin.New(ups)).Candidates("s0") {
			accepting = accepting || up.Accepting()
		}
		allLeaving := true
		for _, up := range ups {
			allLeaving = allLeaving && up.Leaving
		}
		is.True(accepting || allLeaving)
	}
}

// A VM that suspects a cut of its own data centre probes two VMs elsewhere. If both were in
// one data centre that is cut off itself, neither would answer and a healthy VM would leave
// the load balancer's rotation.
func TestFarVMsSpreadOverDataCentres(t *testing.T) {
	cases := []struct {
		name        string
		sizes       map[string][]float64
		n           int
		drawn       int
		dataCentres int
	}{
		{"three other data centres", map[string][]float64{"a": capacities(3, 1), "b": capacities(2, 1), "c": capacities(4, 1), "d": capacities(1, 1)}, 2, 2, 2},
		{"one other data centre", map[string][]float64{"a": capacities(1, 1), "b": capacities(3, 1)}, 2, 2, 1},
		{"one other data centre, one VM", map[string][]float64{"a": capacities(2, 1), "b": capacities(1, 1)}, 2, 1, 1},
		{"no other data centre", map[string][]float64{"a": capacities(4, 1)}, 2, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			si := newTestFleet(1, tc.sizes)
			vw := si.view(rank.VM{Addr: "a-0", DataCentre: "a"})
			for _, draw := range []float64{0, 0.3, 0.6, 0.99} {
				drawn, dataCentres := map[string]bool{}, map[string]bool{}
				for _, vm := range vw.RemoteVMs(tc.n, func() float64 { return draw }) {
					is.True(vm.DataCentre != "a")
					drawn[vm.Addr], dataCentres[vm.DataCentre] = true, true
				}
				is.Equal(len(drawn), tc.drawn)
				is.Equal(len(dataCentres), tc.dataCentres)
			}
		})
	}
}
