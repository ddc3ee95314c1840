package remote

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumvane/core/origin"
	"laburnumvane/core/place"
	"laburnumvane/core/probe"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
)

const (
	// maxCandidates is how many VMs a request considers: a fleet without large VMs has hundreds of
	// targets, and a choice of two needs few. minRemote of them are of other data centres.
	maxCandidates = 16
	minRemote     = 4
)

// choose returns the VM that runs a request, or nil if there is none. sooner is set if there are
// some, and this VM is expected to answer before them.
func (cl *Client) choose(vms, tried []*origin.Upstream, usual, own time.Duration) (vm *origin.Upstream, sooner bool) {
	now := cl.cfg.Clock()
	if cl.cfg.Off.Off(toggle.Placement) || !cl.place.Busy(now) {
		vm, _ = cl.pick(vms, tried, usual)
		return vm, false
	}
	var candidates []*origin.Upstream
	var targets []place.Target
	for _, up := range cl.usable(now, vms) {
		cost, base, ok := cl.table.Cost(now, steer.RequestKind{UsualLatency: usual}, up)
		if !ok || slices.Contains(tried, up) {
			continue
		}
		candidates = append(candidates, up)
		targets = append(targets, place.Target{Addr: up.Addr, Local: up.DataCentre == cl.cfg.DataCentre, Cost: cost, Base: base})
	}
	choice, sooner := cl.place.Choose(now, targets, own, rand.Float64)
	if choice == place.Self {
		return nil, sooner
	}
	return candidates[choice], false
}

// usable returns the VMs that are not known to be silent.
func (cl *Client) usable(now time.Duration, vms []*origin.Upstream) []*origin.Upstream {
	vms = cl.sample(vms)
	usable := make([]*origin.Upstream, 0, len(vms))
	for _, vm := range vms {
		cl.peers.Want(now, probe.VM{Addr: vm.Addr, DataCentre: vm.DataCentre})
		if !cl.peers.Avoid(vm.Addr) {
			usable = append(usable, vm)
		}
	}
	if len(usable) < len(vms) {
		cl.watch()
	}
	return usable
}

// pick chooses a VM by its latency alone.
func (cl *Client) pick(vms, tried []*origin.Upstream, usual time.Duration) (*origin.Upstream, bool) {
	now := cl.cfg.Clock()
	return cl.table.Pick(now, steer.RequestKind{UsualLatency: usual}, cl.usable(now, vms), tried, rand.Float64)
}

// sample returns at most maxCandidates of the VMs, the own data centre's first.
func (cl *Client) sample(vms []*origin.Upstream) []*origin.Upstream {
	if len(vms) <= maxCandidates {
		return vms
	}
	var local, remote []*origin.Upstream
	for _, vm := range vms {
		if vm.DataCentre == cl.cfg.DataCentre {
			local = append(local, vm)
		} else {
			remote = append(remote, vm)
		}
	}
	few := draw(local, maxCandidates-min(len(remote), minRemote))
	return append(few, draw(remote, maxCandidates-len(few))...)
}

// draw returns at most n of the VMs, starting at a random one.
func draw(vms []*origin.Upstream, n int) []*origin.Upstream {
	if len(vms) <= n {
		return vms
	}
	start := rand.IntN(len(vms))
	drawn := make([]*origin.Upstream, 0, n)
	for k := range n {
		drawn = append(drawn, vms[(start+k)%len(vms)])
	}
	return drawn
}
