package plan

import (
	"sort"

	"laburnumvane/core/conns"
	"laburnumvane/core/origin"
	"laburnumvane/core/ramp"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

const (
	// defaultConnections is assumed where the configuration does not say how
	// many connections a server accepts.
	defaultConnections = 64
	// mostConnections bounds this VM's connections to one server: a request
	// that waits for the eighth one is better off elsewhere.
	mostConnections = 8
	// homeWarm is how many connections a large VM keeps open to each shard's
	// server: it has about half a request there at any time.
	homeWarm = 2
	// planSalt sets the order of VMs for connections apart from others.
	planSalt = "connections"
)

// Config is what a view is made of.
type Config struct {
	// Routes is nil until a configuration is known.
	Routes    *route.Table
	Upstreams *origin.Directory
	Self      rank.VM
	// Fleet lists the VMs, this one counted or not.
	Fleet []rank.VM
	// Capacity is what each VM can do, by its inner address, in cores.
	Capacity map[string]float64
	// Regions are those of the data centres.
	Regions map[string]string
	// WarmUp says what servers bear while they warm up.
	WarmUp ramp.Bounds
}

// Limits is this VM's part of a server's connections.
type Limits struct {
	// Warm is how many are kept open without demand.
	Warm int
	Most int
}

// View is what is known at one moment.
type View struct {
	cfg   Config
	fleet places
	// reach holds, by service, the servers to which this VM may open
	// connections.
	reach  map[string][]*origin.Upstream
	limits map[string]Limits
	// large are the VMs with much more capacity than most, by inner address;
	// homes those that take a gather, by its first shard, and single those that
	// take any other request.
	large  map[string]bool
	homes  map[string][]*origin.Upstream
	single []*origin.Upstream
	// joiners are by data centre.
	joiners map[string][]*origin.Upstream
	// warms are the services of which some server warms up and has a bound.
	warms map[string]bool
}

// places is the division of the fleet into data centres.
type places struct {
	// ranked are the VMs of each data centre by rank.
	ranked map[string][]rank.VM
	all    []rank.VM
}

// New makes a view.
func New(cfg Config) *View {
	if cfg.Upstreams == nil {
		cfg.Upstreams = origin.New(nil)
	}
	vw := &View{
		cfg:    cfg,
		fleet:  newPlaces(cfg.Self, cfg.Fleet),
		reach:  make(map[string][]*origin.Upstream),
		limits: make(map[string]Limits),
	}
	vw.large = vw.findLarge()
	vw.findHomes()
	vw.findJoiners()
	vw.findWarming()
	cfg.Upstreams.All(func(up *origin.Upstream) {
		vw.limits[up.ID] = vw.part(up)
	})
	cfg.Upstreams.All(func(up *origin.Upstream) {
		if _, done := vw.reach[up.Service]; !done {
			vw.reach[up.Service] = vw.reachOf(up.Service)
		}
	})
	return vw
}

func newPlaces(self rank.VM, fleet []rank.VM) places {
	all := []rank.VM{self}
	for _, vm := range fleet {
		if vm.Addr != self.Addr {
			all = append(all, vm)
		}
	}
	all = rank.Order(all, planSalt)
	ranked := make(map[string][]rank.VM)
	for _, vm := range all {
		ranked[vm.DataCentre] = append(ranked[vm.DataCentre], vm)
	}
	return places{ranked: ranked, all: all}
}

// WithRoutes is the same view with other routes.
func (vw *View) WithRoutes(tb *route.Table) *View {
	cfg := vw.cfg
	cfg.Routes = tb
	return New(cfg)
}

// WithUpstreams is the same view with other servers.
func (vw *View) WithUpstreams(dir *origin.Directory) *View {
	cfg := vw.cfg
	cfg.Upstreams = dir
	return New(cfg)
}

// WithFleet is the same view with other VMs and what each of them can do.
func (vw *View) WithFleet(vms []rank.VM, capacity map[string]float64) *View {
	cfg := vw.cfg
	cfg.Fleet = vms
	cfg.Capacity = capacity
	return New(cfg)
}

// Routes are those in force; nil if none is known yet.
func (vw *View) Routes() *route.Table { return vw.cfg.Routes }

// Upstreams are all servers.
func (vw *View) Upstreams() *origin.Directory { return vw.cfg.Upstreams }

// FarVMs draws so many VMs of other data centres, of different ones as far as there
// are: one that is cut off itself must not answer for all. The draw is uniform within 0
// to 1.
func (vw *View) FarVMs(n int, draw func() float64) []rank.VM {
	var far []rank.VM
	for _, vm := range vw.fleet.all {
		if vm.DataCentre != vw.cfg.Self.DataCentre {
			far = append(far, vm)
		}
	}
	for i := len(far) - 1; i > 0; i-- {
		k := int(draw() * float64(i+1))
		far[i], far[k] = far[k], far[i]
	}
	// turn is how many VMs of the same data centre were drawn before each.
	turn, drawn := make(map[string]int, len(far)), make(map[string]int)
	for _, vm := range far {
		turn[vm.Addr] = drawn[vm.DataCentre]
		drawn[vm.DataCentre]++
	}
	sort.SliceStable(far, func(i, j int) bool { return turn[far[i].Addr] < turn[far[j].Addr] })
	return far[:min(n, len(far))]
}

// FleetSize is the number of VMs, this one counted.
func (vw *View) FleetSize() int { return len(vw.fleet.all) }

// Candidates lists the servers of a service to which this VM may open
// connections. The caller must not change the list.
func (vw *View) Candidates(service string) []*origin.Upstream { return vw.reach[service] }

// Limits is this VM's part of a server's connections.
func (vw *View) Limits(up *origin.Upstream) Limits { return vw.limits[up.ID] }

// reachOf leaves out servers of which this VM has no part, unless that leaves
// none: then the reserve is what serves.
func (vw *View) reachOf(service string) []*origin.Upstream {
	all := vw.cfg.Upstreams.Of(service)
	reach := make([]*origin.Upstream, 0, len(all))
	takes := false
	for _, up := range all {
		if vw.limits[up.ID].Most > 0 {
			reach = append(reach, up)
			takes = takes || up.Takes()
		}
	}
	if takes {
		return reach
	}
	for _, up := range all {
		if vw.limits[up.ID].Most == 0 {
			vw.limits[up.ID] = Limits{Most: 1}
			reach = append(reach, up)
		}
	}
	return reach
}

// part is this VM's part of a server's connections.
func (vw *View) part(up *origin.Upstream) Limits {
	usable := vw.accepts(up.Service)
	usable -= conns.Reserve(usable)
	if len(vw.large) > 0 {
		return vw.partAmongLarge(usable)
	}
	total := len(vw.fleet.all)
	if usable >= total {
		return Limits{Warm: 1, Most: min(usable/total, mostConnections)}
	}
	near := vw.fleet.ranked[up.DataCentre]
	if up.DataCentre == vw.cfg.Self.DataCentre {
		at := indexOf(near, vw.cfg.Self)
		return one(conns.Share(min(usable, len(near)), len(near), at, shift(up)))
	}
	left := usable - len(near)
	far, at := vw.farRank(up.DataCentre)
	return one(conns.Share(left, far, at, shift(up)))
}

// partAmongLarge gives most of a server's connections to the large VMs. The small
// ones open theirs only when they need one: for a request that may run once, which
// goes on a new connection anyway, or where they find no large VM. With one kept by
// each of 174 small VMs, those of before a power loss filled a server's places until
// it noticed, and the new ones were reset 38,000 times in ten seconds.
func (vw *View) partAmongLarge(usable int) Limits {
	if vw.large[vw.cfg.Self.Addr] {
		most := min(max(1, int(homePart*float64(usable))/len(vw.large)), mostConnections)
		return Limits{Warm: min(most, homeWarm), Most: most}
	}
	return Limits{Most: 1}
}

func one(n int) Limits {
	n = min(n, 1)
	return Limits{Warm: n, Most: n}
}

// accepts is how many connections a server takes.
func (vw *View) accepts(service string) int {
	if vw.cfg.Routes != nil {
		if sv, ok := vw.cfg.Routes.Service(service); ok && sv.MaxConnections > 0 {
			return sv.MaxConnections
		}
	}
	return defaultConnections
}

// farRank counts the VMs outside a data centre and finds this one among them.
func (vw *View) farRank(dataCentre string) (count, at int) {
	for _, vm := range vw.fleet.all {
		if vm.DataCentre == dataCentre {
			continue
		}
		if vm.Addr == vw.cfg.Self.Addr {
			at = count
		}
		count++
	}
	return count, at
}

func indexOf(vms []rank.VM, vm rank.VM) int {
	for i, other := range vms {
		if other.Addr == vm.Addr {
			return i
		}
	}
	return 0
}

// shift gives each server another part of the VMs, or the same few would lack a
// second server for every shard.
func shift(up *origin.Upstream) int {
	return int(rank.Hash(planSalt, up.ID) % shiftMost)
}

// shiftMost bounds a shift; it only has to be more than the VMs of a region over
// the places of a server.
const shiftMost = 4096
