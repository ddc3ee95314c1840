package plan

import (
	"sort"

	"laburnumvane/core/origin"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// Requests are forwarded to large VMs and to VMs close to the servers.
//
// A VM with a fifth of a core and a slow link needs 40 ms to handle the 36 answers of a
// gather, a large VM 5 ms. With only a few requests a second of its own, a small VM also
// learns slowly which servers are slow. So large VMs take the requests of small ones. A VM
// whose data centre has no server of the shards would transfer every shard's answer between
// data centres; a VM in the servers' data centre transfers only the merged answer.
const (
	// largeFactor is how many times the fleet's median capacity a VM needs to count as large.
	largeFactor = 2
	// minForwardingFleet is the minimum number of VMs for which forwarding is worth the extra
	// hop.
	minForwardingFleet = 4
	// colocatedShare is the share of the shards that must have a server in a data centre for
	// its VMs to count as colocated with them.
	colocatedShare = 0.5
	// largeVMShare is the share of connections and of extra attempts that is divided among
	// the large VMs only. The rest is for small VMs that reach no large one.
	largeVMShare = 0.75
)

// ForwardTargets lists the VMs to which this VM should forward a request, as Upstreams with their
// inner addresses as ID and Addr. It is empty if this VM should handle the request itself. A
// request that must not run twice is never forwarded, since the failure of a forwarding VM
// would leave unknown whether the request ran. The caller must not modify the list.
func (vw *View) ForwardTargets(rt *route.Route) []*origin.Upstream {
	switch {
	case !rt.Idempotent:
		return nil
	case rt.Gather == nil:
		return vw.FilterByRegion(rt, vw.singleTargets)
	case len(rt.Gather.Shards) == 0:
		return nil
	}
	return vw.FilterByRegion(rt, vw.gatherTargets[rt.Gather.Shards[0]])
}

// Large reports whether some VMs of the fleet are large, and whether this VM is.
func (vw *View) Large() (anyLarge, self bool) {
	return len(vw.large) > 0, vw.large[vw.cfg.Self.Addr]
}

// findLarge returns the VMs with much more capacity than most. It is empty for a fleet below
// minForwardingFleet or without known capacities.
func (vw *View) findLarge() map[string]bool {
	if len(vw.fleet.all) < minForwardingFleet {
		return nil
	}
	capacities := make([]float64, len(vw.fleet.all))
	for i, vm := range vw.fleet.all {
		capacities[i] = vw.cfg.Capacity[vm.Addr]
	}
	sort.Float64s(capacities)
	median := capacities[len(capacities)/2]
	if median <= 0 {
		return nil
	}
	large := make(map[string]bool)
	for _, vm := range vw.fleet.all {
		if vw.cfg.Capacity[vm.Addr] >= largeFactor*median {
			large[vm.Addr] = true
		}
	}
	return large
}

// findForwardTargets computes the forward targets for each set of shards that a route
// gathers, and those for other requests.
func (vw *View) findForwardTargets() {
	vw.gatherTargets = make(map[string][]*origin.Upstream)
	if vw.cfg.Routes == nil || len(vw.fleet.all) < minForwardingFleet {
		return
	}
	vw.singleTargets = vw.forwardTargets(nil)
	for _, rt := range vw.cfg.Routes.Routes() {
		if rt.Gather == nil || len(rt.Gather.Shards) == 0 {
			continue
		}
		if _, known := vw.gatherTargets[rt.Gather.Shards[0]]; !known {
			vw.gatherTargets[rt.Gather.Shards[0]] = vw.forwardTargets(rt.Gather.Shards)
		}
	}
}

// forwardTargets lists the preferred VMs for the shards, or returns nil if this VM is one of
// them.
func (vw *View) forwardTargets(shards []string) []*origin.Upstream {
	var targets []*origin.Upstream
	for _, vm := range vw.preferredVMs(shards) {
		if vm.Addr == vw.cfg.Self.Addr {
			return nil
		}
		targets = append(targets, &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: vm.DataCentre})
	}
	return targets
}

// preferredVMs lists the VMs that take requests over the given shards: only large VMs if
// there are any, and only VMs colocated with the shards' servers if there are any.
func (vw *View) preferredVMs(shards []string) []rank.VM {
	colocated := vw.colocated(shards)
	var vms []rank.VM
	for _, vm := range vw.fleet.all {
		if (len(vw.large) == 0 || vw.large[vm.Addr]) && (len(colocated) == 0 || colocated[vm.DataCentre]) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Joiners lists the VMs of another data centre that can gather answers of servers there for
// this VM. The caller must not modify the list.
func (vw *View) Joiners(dataCentre string) []*origin.Upstream { return vw.joiners[dataCentre] }

// findJoiners selects the large VMs of each data centre, or all of its VMs if none is large.
func (vw *View) findJoiners() {
	vw.joiners = make(map[string][]*origin.Upstream)
	for dataCentre, vms := range vw.fleet.byDataCentre {
		if dataCentre == vw.cfg.Self.DataCentre {
			continue
		}
		var large, all []*origin.Upstream
		for _, vm := range vms {
			up := &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: dataCentre}
			all = append(all, up)
			if vw.large[vm.Addr] {
				large = append(large, up)
			}
		}
		vw.joiners[dataCentre] = all
		if len(large) > 0 {
			vw.joiners[dataCentre] = large
		}
	}
}

// colocated returns the data centres that have servers of at least colocatedShare of the
// shards.
func (vw *View) colocated(shards []string) map[string]bool {
	counts := make(map[string]int)
	for _, name := range shards {
		dataCentres := make(map[string]bool)
		for _, up := range vw.cfg.Upstreams.OfService(name) {
			if up.Accepting() {
				dataCentres[up.DataCentre] = true
			}
		}
		for dataCentre := range dataCentres {
			counts[dataCentre]++
		}
	}
	colocated := make(map[string]bool)
	for dataCentre, n := range counts {
		if float64(n) >= colocatedShare*float64(len(shards)) {
			colocated[dataCentre] = true
		}
	}
	return colocated
}

// ExtraShare returns this VM's share of the extra attempts (beyond first attempts) that all
// VMs together may send, 0 to 1.
func (vw *View) ExtraShare() float64 {
	anyLarge, self := vw.Large()
	fleetSize := float64(len(vw.fleet.all))
	if !anyLarge {
		return 1 / fleetSize
	}
	large := float64(len(vw.large))
	if self {
		return largeVMShare / large
	}
	return (1 - largeVMShare) / max(1, fleetSize-large)
}
