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

// Warming describes how requests may be sent to a server that warms up and can serve only a
// limited rate until then.
type Warming struct {
	// MaxPerSecond is how many requests all VMs together may send to it within any second.
	MaxPerSecond int
	// Owner is the VM that sends all of these requests, as an Upstream with its inner address
	// as ID and Addr. Self is set if this VM is the owner.
	Owner *origin.Upstream
	Self  bool
}

// HasWarming reports whether a service limits the requests to a warming server and has a server
// that warms up, or did so when its last entry was written.
func (vw *View) HasWarming(service string) bool { return vw.warming[service] }

// Warming returns the bound on requests to a server, and false if the server does not warm up
// or has no bound.
func (vw *View) Warming(now time.Duration, up *origin.Upstream) (Warming, bool) {
	if !up.Cold(now) || !vw.warming[up.Service] {
		return Warming{}, false
	}
	sv, _ := vw.cfg.Routes.Service(up.Service)
	vm := vw.ownerOf(up)
	return Warming{
		MaxPerSecond: vw.cfg.WarmUp.Max(sv.WarmUpRate),
		Owner:        &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: vm.DataCentre},
		Self:         vm.Addr == vw.cfg.Self.Addr,
	}, true
}

// IsWarming reports whether a server warms up and has a bound. Unlike Warming it does not
// compute the owner.
func (vw *View) IsWarming(now time.Duration, up *origin.Upstream) bool {
	return up.Cold(now) && vw.warming[up.Service]
}

// LimitsWarmUp reports whether the requests to a service's servers are limited while they warm up.
func (vw *View) LimitsWarmUp(service string) bool {
	if vw.cfg.Routes == nil {
		return false
	}
	sv, ok := vw.cfg.Routes.Service(service)
	return ok && sv.WarmUpRate > 0
}

// ServesWithStaleState reports whether a VM that does not know which servers are cold (see
// warmup.Limiter.Stale) may take requests of a route: none of the route's services limits the
// requests to cold servers.
func (vw *View) ServesWithStaleState(rt *route.Route) bool {
	return !slices.ContainsFunc(rt.Services(), vw.LimitsWarmUp)
}

// StaleStateMatters reports whether it matters that this VM may not know which servers are cold
// (see warmup.Limiter.Stale): some service limits the requests to cold servers, and there are VMs
// in other data centres that may know more.
func (vw *View) StaleStateMatters() bool {
	return vw.cfg.Routes != nil && vw.cfg.Routes.LimitsWarmUp() && len(vw.fleet.byDataCentre) > 1
}

// findWarming computes the services that limit the requests to a warming server and have one.
func (vw *View) findWarming() {
	vw.warming = make(map[string]bool)
	vw.cfg.Upstreams.All(func(up *origin.Upstream) {
		if up.ColdUntil > 0 && vw.LimitsWarmUp(up.Service) {
			vw.warming[up.Service] = true
		}
	})
}

// ownerOf returns the VM that ranks first for a server, among the VMs of the server's data
// centre or, if there are none, among all. VMs with more capacity rank first; VMs of about
// the same capacity are ranked by rendezvous hashing, so that servers have different owners.
// A VM's rank depends on its own entry only, so two VMs that know each other agree on their
// order.
func (vw *View) ownerOf(up *origin.Upstream) rank.VM {
	vms := vw.fleet.byDataCentre[up.DataCentre]
	if len(vms) == 0 {
		vms = vw.fleet.all
	}
	key := xxhash.Sum64String(up.ID)
	best, bestClass, bestWeight := vms[0], vw.sizeClass(vms[0]), rendezvousWeight(key, vms[0].Addr)
	for _, candidate := range vms[1:] {
		class, weight := vw.sizeClass(candidate), rendezvousWeight(key, candidate.Addr)
		if class > bestClass || class == bestClass && weight > bestWeight {
			best, bestClass, bestWeight = candidate, class, weight
		}
	}
	return best
}

// sizeClass returns the binary logarithm of a VM's capacity, rounded, so that VMs of about
// the same capacity are equal.
func (vw *View) sizeClass(vm rank.VM) int {
	capacity := vw.cfg.Capacity[vm.Addr]
	if capacity <= 0 {
		return math.MinInt
	}
	return int(math.Round(math.Log2(capacity)))
}
