package plan

import (
	"sort"

	"laburnumvane/core/conns"
	"laburnumvane/core/origin"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
	"laburnumvane/core/warmup"
)

const (
	// defaultConnections is the number of connections that a server is assumed to accept if
	// the configuration does not say.
	defaultConnections = 64
	// maxConnections bounds this VM's connections to one server: a request that would wait
	// for an eighth connection is better sent elsewhere.
	maxConnections = 8
	// largeIdle is how many connections a large VM keeps open to each server of a shard
	// without demand: on average it has about half a request in flight there.
	largeIdle = 2
	// connectionSalt keeps the rendezvous order of VMs for connections independent of other
	// orders.
	connectionSalt = "connections"
)

// Config is the input of a View.
type Config struct {
	// Routes is nil until a configuration is known.
	Routes    *route.Table
	Upstreams *origin.Directory
	Self      rank.VM
	// Fleet lists the VMs. This VM may be in it or not.
	Fleet []rank.VM
	// Capacity is the capacity of each VM in cores, by its inner address.
	Capacity map[string]float64
	// Regions maps data centres to their regions.
	Regions map[string]string
	// WarmUp bounds the requests to a server while it warms up.
	WarmUp warmup.Bounds
}

// Limits is this VM's share of the connections to a server.
type Limits struct {
	// Idle is how many are kept open without demand.
	Idle int
	// Max is how many may be open.
	Max int
}

// View is an immutable snapshot of routes, servers and VMs.
type View struct {
	cfg   Config
	fleet rankedFleet
	// candidates lists, by service, the servers to which this VM may open connections.
	candidates map[string][]*origin.Upstream
	limits     map[string]Limits
	// large holds the VMs with much more capacity than most, by inner address. gatherTargets
	// lists the VMs to which this VM forwards a gather, by the first of its shards;
	// singleTargets lists those for any other request.
	large         map[string]bool
	gatherTargets map[string][]*origin.Upstream
	singleTargets []*origin.Upstream
	// joiners lists VMs by data centre; see Joiners.
	joiners map[string][]*origin.Upstream
	// warming holds the services that limit the requests to a warming server and have one.
	warming map[string]bool
	// holders finds the VMs that have parts of the accounts' limits.
	holders *holderTable
}

// rankedFleet is all VMs, this one included, in rendezvous order.
type rankedFleet struct {
	// byDataCentre lists the VMs of each data centre in the same order.
	byDataCentre map[string][]rank.VM
	all          []rank.VM
}

// New returns the View of a configuration. A nil Upstreams is an empty directory.
func New(cfg Config) *View {
	vw := newView(cfg)
	vw.holders = vw.newHolderTable()
	return vw
}

// withSameFleet returns the View of a configuration whose fleet is that of vw.
func (vw *View) withSameFleet(cfg Config) *View {
	same := newView(cfg)
	same.holders = vw.holders
	return same
}

// newView returns a View without its holders.
func newView(cfg Config) *View {
	if cfg.Upstreams == nil {
		cfg.Upstreams = origin.New(nil)
	}
	vw := &View{
		cfg:        cfg,
		fleet:      newRankedFleet(cfg.Self, cfg.Fleet),
		candidates: make(map[string][]*origin.Upstream),
		limits:     make(map[string]Limits),
	}
	vw.large = vw.findLarge()
	vw.findForwardTargets()
	vw.findJoiners()
	vw.findWarming()
	cfg.Upstreams.All(func(up *origin.Upstream) {
		vw.limits[up.ID] = vw.limitsFor(up)
	})
	cfg.Upstreams.All(func(up *origin.Upstream) {
		if _, done := vw.candidates[up.Service]; !done {
			vw.candidates[up.Service] = vw.candidatesOf(up.Service)
		}
	})
	return vw
}

func newRankedFleet(self rank.VM, fleet []rank.VM) rankedFleet {
	all := []rank.VM{self}
	for _, vm := range fleet {
		if vm.Addr != self.Addr {
			all = append(all, vm)
		}
	}
	all = rank.Order(all, connectionSalt)
	ranked := make(map[string][]rank.VM)
	for _, vm := range all {
		ranked[vm.DataCentre] = append(ranked[vm.DataCentre], vm)
	}
	return rankedFleet{byDataCentre: ranked, all: all}
}

// WithRoutes returns a copy of the view with other routes.
func (vw *View) WithRoutes(tb *route.Table) *View {
	cfg := vw.cfg
	cfg.Routes = tb
	return vw.withSameFleet(cfg)
}

// WithUpstreams returns a copy of the view with other servers.
func (vw *View) WithUpstreams(dir *origin.Directory) *View {
	cfg := vw.cfg
	cfg.Upstreams = dir
	return vw.withSameFleet(cfg)
}

// WithFleet returns a copy of the view with other VMs and their capacities in cores.
func (vw *View) WithFleet(vms []rank.VM, capacity map[string]float64) *View {
	cfg := vw.cfg
	cfg.Fleet = vms
	cfg.Capacity = capacity
	return New(cfg)
}

// Self returns this VM.
func (vw *View) Self() rank.VM { return vw.cfg.Self }

// Routes returns the routes in force, or nil if none are known yet.
func (vw *View) Routes() *route.Table { return vw.cfg.Routes }

// Upstreams returns the directory of all servers.
func (vw *View) Upstreams() *origin.Directory { return vw.cfg.Upstreams }

// RemoteVMs returns at most n random VMs of other data centres, from different data centres as
// far as possible: if one data centre is cut off, the answers must not depend on its VMs
// alone. draw returns a uniform random number in [0, 1).
func (vw *View) RemoteVMs(n int, draw func() float64) []rank.VM {
	var remote []rank.VM
	for _, vm := range vw.fleet.all {
		if vm.DataCentre != vw.cfg.Self.DataCentre {
			remote = append(remote, vm)
		}
	}
	for i := len(remote) - 1; i > 0; i-- {
		k := int(draw() * float64(i+1))
		remote[i], remote[k] = remote[k], remote[i]
	}
	// earlier is how many VMs of the same data centre come before each VM in the shuffled
	// list.
	earlier, drawn := make(map[string]int, len(remote)), make(map[string]int)
	for _, vm := range remote {
		earlier[vm.Addr] = drawn[vm.DataCentre]
		drawn[vm.DataCentre]++
	}
	sort.SliceStable(remote, func(i, j int) bool { return earlier[remote[i].Addr] < earlier[remote[j].Addr] })
	return remote[:min(n, len(remote))]
}

// FleetSize returns the number of VMs, including this one.
func (vw *View) FleetSize() int { return len(vw.fleet.all) }

// Candidates lists the servers of a service to which this VM may open connections. The caller
// must not modify the list.
func (vw *View) Candidates(service string) []*origin.Upstream { return vw.candidates[service] }

// Limits returns this VM's share of the connections to a server.
func (vw *View) Limits(up *origin.Upstream) Limits { return vw.limits[up.ID] }

// candidatesOf leaves out servers to which this VM has no connections. If that leaves no
// server that accepts requests, it adds the others with one connection each, which come out
// of the server's reserve.
func (vw *View) candidatesOf(service string) []*origin.Upstream {
	all := vw.cfg.Upstreams.OfService(service)
	candidates := make([]*origin.Upstream, 0, len(all))
	accepting := false
	for _, up := range all {
		if vw.limits[up.ID].Max > 0 {
			candidates = append(candidates, up)
			accepting = accepting || up.Accepting()
		}
	}
	if accepting {
		return candidates
	}
	for _, up := range all {
		if vw.limits[up.ID].Max == 0 {
			vw.limits[up.ID] = Limits{Max: 1}
			candidates = append(candidates, up)
		}
	}
	return candidates
}

// limitsFor computes this VM's share of a server's connections.
func (vw *View) limitsFor(up *origin.Upstream) Limits {
	usable := vw.acceptedConnections(up.Service)
	usable -= conns.Reserve(usable)
	if len(vw.large) > 0 {
		return vw.limitsWithLarge(usable)
	}
	total := len(vw.fleet.all)
	if usable >= total {
		return Limits{Idle: 1, Max: min(usable/total, maxConnections)}
	}
	local := vw.fleet.byDataCentre[up.DataCentre]
	if up.DataCentre == vw.cfg.Self.DataCentre {
		index := indexOf(local, vw.cfg.Self)
		return atMostOne(conns.Share(min(usable, len(local)), len(local), index, offset(up)))
	}
	remaining := usable - len(local)
	remote, index := vw.remoteRank(up.DataCentre)
	return atMostOne(conns.Share(remaining, remote, index, offset(up)))
}

// limitsWithLarge gives most of a server's connections to the large VMs. The small VMs open a
// connection only when they need one: for a request that may run only once, which uses a new
// connection anyway, or if they reach no large VM. When each of 174 small VMs kept one open,
// the old connections filled a server's limit after a power loss until the server noticed,
// and the new ones were reset 38,000 times in ten seconds.
func (vw *View) limitsWithLarge(usable int) Limits {
	if vw.large[vw.cfg.Self.Addr] {
		most := min(max(1, int(largeVMShare*float64(usable))/len(vw.large)), maxConnections)
		return Limits{Idle: min(most, largeIdle), Max: most}
	}
	return Limits{Max: 1}
}

func atMostOne(n int) Limits {
	n = min(n, 1)
	return Limits{Idle: n, Max: n}
}

// acceptedConnections returns how many connections a server of the service accepts from all
// VMs together.
func (vw *View) acceptedConnections(service string) int {
	if vw.cfg.Routes != nil {
		if sv, ok := vw.cfg.Routes.Service(service); ok && sv.MaxConnections > 0 {
			return sv.MaxConnections
		}
	}
	return defaultConnections
}

// remoteRank returns the number of VMs outside a data centre and the index of this VM among
// them.
func (vw *View) remoteRank(dataCentre string) (count, index int) {
	for _, vm := range vw.fleet.all {
		if vm.DataCentre == dataCentre {
			continue
		}
		if vm.Addr == vw.cfg.Self.Addr {
			index = count
		}
		count++
	}
	return count, index
}

func indexOf(vms []rank.VM, vm rank.VM) int {
	for i, other := range vms {
		if other.Addr == vm.Addr {
			return i
		}
	}
	return 0
}

// offset rotates the ranking of VMs differently for each server. Without it the same few VMs
// would lack a second server for every shard.
func offset(up *origin.Upstream) int {
	return int(rank.Hash(connectionSalt, up.ID) % maxOffset)
}

// maxOffset bounds an offset. It only has to exceed the number of VMs of a region that
// compete for one server's connections.
const maxOffset = 4096
