package plan

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumvane/core/origin"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// Warming is what is to be known of a server that warms up and bears few requests meanwhile.
type Warming struct {
	// Most is how many requests it may get within a second, from all VMs together.
	Most int
	// Owner is the VM that sends all of them, as a server named by its inner address; Self is
	// set if it is this one.
	Owner *origin.Upstream
	Self  bool
}

// Warms tells whether some server of a service warms up, or did since its last entry.
func (vw *View) Warms(service string) bool { return vw.warms[service] }

// Warming tells whether a server warms up and has a bound.
func (vw *View) Warming(now time.Duration, up *origin.Upstream) (Warming, bool) {
	if !up.Cold(now) || !vw.warms[up.Service] {
		return Warming{}, false
	}
	sv, _ := vw.cfg.Routes.Service(up.Service)
	vm := vw.ownerOf(up)
	return Warming{
		Most:  vw.cfg.WarmUp.Most(sv.WarmUpRate),
		Owner: &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: vm.DataCentre},
		Self:  vm.Addr == vw.cfg.Self.Addr,
	}, true
}

// WarmsUp tells whether a server warms up and has a bound, whoever owns it.
func (vw *View) WarmsUp(now time.Duration, up *origin.Upstream) bool {
	return up.Cold(now) && vw.warms[up.Service]
}

// Bounds tells whether a service's servers bear few requests while they warm up.
func (vw *View) Bounds(service string) bool {
	if vw.cfg.Routes == nil {
		return false
	}
	sv, ok := vw.cfg.Routes.Service(service)
	return ok && sv.WarmUpRate > 0
}

// BlindServes tells whether a VM may take requests of a route that does not know which servers
// are cold: none of their services bounds what those get.
func (vw *View) BlindServes(rt *route.Route) bool {
	return !slices.ContainsFunc(rt.Services(), vw.Bounds)
}

// BlindMatters tells whether it is of any concern whether this VM knows that: some service
// has such a bound, and there are VMs of other data centres which may know more.
func (vw *View) BlindMatters() bool {
	return vw.cfg.Routes != nil && vw.cfg.Routes.WarmUpBounds() && len(vw.fleet.ranked) > 1
}

// findWarming finds the services of which some server warms up and has a bound.
func (vw *View) findWarming() {
	vw.warms = make(map[string]bool)
	vw.cfg.Upstreams.All(func(up *origin.Upstream) {
		if up.ColdUntil > 0 && vw.Bounds(up.Service) {
			vw.warms[up.Service] = true
		}
	})
}

// ownerOf is the VM that ranks first for a server: of those beside it, or of all where there is
// none, the large ones go first, and of equal ones another one for each server. A VM's rank
// follows from its own entry alone, so that two VMs that know each other agree which of them
// ranks before the other.
func (vw *View) ownerOf(up *origin.Upstream) rank.VM {
	vms := vw.fleet.ranked[up.DataCentre]
	if len(vms) == 0 {
		vms = vw.fleet.all
	}
	key := xxhash.Sum64String(up.ID)
	best, size, most := vms[0], vw.sizeOf(vms[0]), weight(key, vms[0].Addr)
	for _, vm := range vms[1:] {
		si, we := vw.sizeOf(vm), weight(key, vm.Addr)
		if si > size || si == size && we > most {
			best, size, most = vm, si, we
		}
	}
	return best
}

// sizeOf is a VM's capacity as a power of two, so that VMs of about the same size are equal.
func (vw *View) sizeOf(vm rank.VM) int {
	capacity := vw.cfg.Capacity[vm.Addr]
	if capacity <= 0 {
		return math.MinInt
	}
	return int(math.Round(math.Log2(capacity)))
}
