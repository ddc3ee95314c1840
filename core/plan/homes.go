package plan

import (
	"sort"

	"laburnumvane/core/origin"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// Why a request is better taken by another VM.
//
// A VM with a fifth of a core and a slow link needs 40 ms for what 36 answers
// cost it alone, where a large one needs 5; and it learns which servers are slow
// from a few requests a second of its own. So the large VMs take the requests of
// the small ones. A VM whose data centre has no server of the shards would bring
// every part across; one beside them brings the answer across only.
const (
	// homeTimes is how many times the fleet's median capacity makes a VM large.
	homeTimes = 2
	// homeFleet is the least number of VMs for which that is worth a hop.
	homeFleet = 4
	// hostShare is the share of the shards that must have a server in a data
	// centre for it to count as beside them.
	hostShare = 0.5
	// homePart is the part of connections and of extra attempts that is divided
	// among the large VMs only; the rest is for small ones that find none.
	homePart = 0.75
)

// Homes lists the VMs that should take a request in place of this one, as servers
// named by their inner addresses; it is empty if this VM should take it itself.
// A request that must not run twice is never handed on: one more VM that may be
// lost is one more reason not to know whether it ran. The caller must not change
// the list.
func (vw *View) Homes(rt *route.Route) []*origin.Upstream {
	switch {
	case !rt.Idempotent:
		return nil
	case rt.Gather == nil:
		return vw.Within(rt, vw.single)
	case len(rt.Gather.Shards) == 0:
		return nil
	}
	return vw.Within(rt, vw.homes[rt.Gather.Shards[0]])
}

// Large tells whether some VMs of the fleet are large, and whether this one is.
func (vw *View) Large() (some, self bool) {
	return len(vw.large) > 0, vw.large[vw.cfg.Self.Addr]
}

// findLarge finds the VMs with much more capacity than most.
func (vw *View) findLarge() map[string]bool {
	if len(vw.fleet.all) < homeFleet {
		return nil
	}
	sizes := make([]float64, len(vw.fleet.all))
	for i, vm := range vw.fleet.all {
		sizes[i] = vw.cfg.Capacity[vm.Addr]
	}
	sort.Float64s(sizes)
	median := sizes[len(sizes)/2]
	if median <= 0 {
		return nil
	}
	large := make(map[string]bool)
	for _, vm := range vw.fleet.all {
		if vw.cfg.Capacity[vm.Addr] >= homeTimes*median {
			large[vm.Addr] = true
		}
	}
	return large
}

// findHomes works the homes out for each set of shards that a route gathers.
func (vw *View) findHomes() {
	vw.homes = make(map[string][]*origin.Upstream)
	if vw.cfg.Routes == nil || len(vw.fleet.all) < homeFleet {
		return
	}
	vw.single = vw.homesOf(nil)
	for _, rt := range vw.cfg.Routes.Routes() {
		if rt.Gather == nil || len(rt.Gather.Shards) == 0 {
			continue
		}
		if _, done := vw.homes[rt.Gather.Shards[0]]; !done {
			vw.homes[rt.Gather.Shards[0]] = vw.homesOf(rt.Gather.Shards)
		}
	}
}

func (vw *View) homesOf(shards []string) []*origin.Upstream {
	var homes []*origin.Upstream
	for _, vm := range vw.fitting(shards) {
		if vm.Addr == vw.cfg.Self.Addr {
			return nil
		}
		homes = append(homes, &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: vm.DataCentre})
	}
	return homes
}

// fitting lists the VMs that take requests over those shards: the large ones, where there
// are such, and beside the shards' servers, where there are such.
func (vw *View) fitting(shards []string) []rank.VM {
	beside := vw.beside(shards)
	var vms []rank.VM
	for _, vm := range vw.fleet.all {
		if (len(vw.large) == 0 || vw.large[vm.Addr]) && (len(beside) == 0 || beside[vm.DataCentre]) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Joiners lists the VMs of another data centre that may send a request to servers
// there in place of this one. The caller must not change the list.
func (vw *View) Joiners(dataCentre string) []*origin.Upstream { return vw.joiners[dataCentre] }

// findJoiners takes the large VMs of each data centre, and where there are none
// all of them.
func (vw *View) findJoiners() {
	vw.joiners = make(map[string][]*origin.Upstream)
	for place, vms := range vw.fleet.ranked {
		if place == vw.cfg.Self.DataCentre {
			continue
		}
		var large, all []*origin.Upstream
		for _, vm := range vms {
			up := &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: place}
			all = append(all, up)
			if vw.large[vm.Addr] {
				large = append(large, up)
			}
		}
		vw.joiners[place] = all
		if len(large) > 0 {
			vw.joiners[place] = large
		}
	}
}

// beside finds the data centres that have servers of most of the shards.
func (vw *View) beside(shards []string) map[string]bool {
	counts := make(map[string]int)
	for _, name := range shards {
		there := make(map[string]bool)
		for _, up := range vw.cfg.Upstreams.Of(name) {
			if up.Takes() {
				there[up.DataCentre] = true
			}
		}
		for place := range there {
			counts[place]++
		}
	}
	beside := make(map[string]bool)
	for place, n := range counts {
		if float64(n) >= hostShare*float64(len(shards)) {
			beside[place] = true
		}
	}
	return beside
}

// ExtraPart is this VM's part of what all VMs together may send beyond first
// attempts, 0 to 1.
func (vw *View) ExtraPart() float64 {
	some, self := vw.Large()
	all := float64(len(vw.fleet.all))
	if !some {
		return 1 / all
	}
	large := float64(len(vw.large))
	if self {
		return homePart / large
	}
	return (1 - homePart) / max(1, all-large)
}
