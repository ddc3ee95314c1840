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
	if !up.Cold(now) {
		return Warming{}, false
	}
	wa, ok := vw.warming[up.ID]
	return wa, ok
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

// findWarming finds the servers that warm up and have a bound, and their owners.
func (vw *View) findWarming() {
	vw.warms, vw.warming = make(map[string]bool), make(map[string]Warming)
	if vw.cfg.Routes == nil {
		return
	}
	vw.cfg.Upstreams.All(func(up *origin.Upstream) {
		sv, ok := vw.cfg.Routes.Service(up.Service)
		if !ok || up.ColdUntil == 0 || sv.WarmUpRate == 0 {
			return
		}
		vm := vw.ownerOf(up)
		vw.warms[up.Service] = true
		vw.warming[up.ID] = Warming{
			Most:  vw.cfg.WarmUp.Most(sv.WarmUpRate),
			Owner: &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: vm.DataCentre},
			Self:  vm.Addr == vw.cfg.Self.Addr,
		}
	})
}

// ownerOf is the VM that ranks first for a server. A VM's rank follows from its own entry
// alone, so that two VMs that know each other agree which of them ranks before the other.
func (vw *View) ownerOf(up *origin.Upstream) rank.VM {
	key := xxhash.Sum64String(up.ID)
	best, most := vw.cfg.Self, vw.ownerRank(vw.cfg.Self, up, key)
	for _, vm := range vw.fleet.all {
		if ra := vw.ownerRank(vm, up, key); most.before(ra) {
			best, most = vm, ra
		}
	}
	return best
}

// ownerRank orders VMs for a server: those beside it first, of them the large ones, and of
// equal ones another one for each server.
type ownerRank struct {
	beside bool
	size   int
	weight uint64
}

func (vw *View) ownerRank(vm rank.VM, up *origin.Upstream, key uint64) ownerRank {
	ra := ownerRank{beside: vm.DataCentre == up.DataCentre, weight: weight(key, vm.Addr)}
	if capacity := vw.cfg.Capacity[vm.Addr]; capacity > 0 {
		ra.size = int(math.Round(math.Log2(capacity)))
	} else {
		ra.size = math.MinInt
	}
	return ra
}

// before tells whether another one ranks higher.
func (ra ownerRank) before(other ownerRank) bool {
	switch {
	case ra.beside != other.beside:
		return other.beside
	case ra.size != other.size:
		return ra.size < other.size
	}
	return ra.weight < other.weight
}
