package node

import (
	"cmp"
	"slices"

	"laburnumvane/core/server"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/upst"
)

// place is one entry of a server in a configuration. A server, known by its
// address, may stand in several registers and teams.
type place struct {
	team, register, service string
	dataCentre              string
	slots, connections      int
}

func (pl place) compare(other place) int {
	return cmp.Or(
		cmp.Compare(pl.team, other.team),
		cmp.Compare(pl.register, other.register),
		cmp.Compare(pl.service, other.service),
	)
}

// group names the service that the connections are divided in.
func (pl place) group() string {
	return pl.team + "/" + pl.register + "/" + pl.service
}

// placement is where each server stands in the teams' configurations.
type placement struct {
	ids        map[string]view.ServerID
	places     [][]place
	byRegister map[view.RegisterKey][]view.ServerID
}

func newPlacement() *placement {
	return &placement{
		ids:        make(map[string]view.ServerID),
		byRegister: make(map[view.RegisterKey][]view.ServerID),
	}
}

// registersOf are the registers of one name that a server stands in.
func (pc *placement) registersOf(id view.ServerID, register string) []view.RegisterKey {
	var out []view.RegisterKey
	for _, pl := range pc.places[id] {
		key := view.RegisterKey{Team: pl.team, Register: pl.register}
		if pl.register == register && !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out
}

// placesIn lists the entries of a document by address.
func placesIn(doc team.Document) map[string][]place {
	out := make(map[string][]place)
	for register, rg := range doc.Registers {
		for service, sc := range rg.Services {
			for _, sr := range sc.Servers {
				out[sr.Addr] = append(out[sr.Addr], place{
					team: doc.Team, register: register, service: service, dataCentre: sr.DataCentre,
					slots: sc.SlotsPerServer, connections: sc.ConnectionsPerServer,
				})
			}
		}
	}
	return out
}

// put replaces a team's entries and returns the servers whose entries changed.
func (pc *placement) put(doc team.Document) (changed []view.ServerID, added []string) {
	in := placesIn(doc)
	for addr := range in {
		if _, ok := pc.ids[addr]; !ok {
			added = append(added, addr)
		}
	}
	slices.Sort(added)
	for _, addr := range added {
		pc.ids[addr] = view.ServerID(len(pc.places))
		pc.places = append(pc.places, nil)
	}
	for addr, id := range pc.ids {
		next := slices.DeleteFunc(slices.Clone(pc.places[id]), func(pl place) bool { return pl.team == doc.Team })
		next = append(next, in[addr]...)
		slices.SortFunc(next, place.compare)
		if !slices.Equal(next, pc.places[id]) {
			pc.places[id] = next
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	if len(changed) > 0 {
		pc.index()
	}
	return changed, added
}

func (pc *placement) index() {
	clear(pc.byRegister)
	for id, places := range pc.places {
		for _, pl := range places {
			key := view.RegisterKey{Team: pl.team, Register: pl.register}
			if ids := pc.byRegister[key]; len(ids) == 0 || ids[len(ids)-1] != view.ServerID(id) {
				pc.byRegister[key] = append(ids, view.ServerID(id))
			}
		}
	}
}

// placeServers takes a team's document: new servers get an id and connections,
// those that it no longer has are drained, changed limits take effect.
func (ct *control) placeServers(doc team.Document) {
	us := ct.ups
	changed, added := us.placed.put(doc)
	us.add(added)
	for _, id := range changed {
		us.replace(id)
	}
	if len(changed) > 0 {
		us.plan.rebuild(us.now())
	}
	us.dirty = true
}

func (us *upstreams) add(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	nd := us.ct.nd
	pools := slices.Clone(*nd.servers.Load())
	ups := slices.Clone(*nd.ups.Load())
	for _, addr := range addrs {
		id := view.ServerID(len(pools))
		sv := us.newServer(addr)
		pools = append(pools, sv)
		ups = append(ups, &upstream{Server: sv, id: id, nd: nd})
		us.states.Add(id, addr)
		us.ct.view = us.ct.view.WithServer(view.Server{ID: id, Addr: addr})
	}
	nd.table.Grow(len(pools))
	nd.ups.Store(&ups)
	storePools(nd, pools)
	for i := len(pools) - len(addrs); i < len(pools); i++ {
		us.show(view.ServerID(i))
	}
}

func storePools(nd *Node, pools []*upst.Server) {
	nd.servers.Store(&pools)
}

// replace puts a server's entries into the view. The limits that several
// entries give for one server are not added up: the lowest is safe for all.
func (us *upstreams) replace(id view.ServerID) {
	places := us.placed.places[id]
	if len(places) == 0 {
		us.step(id, server.Event{Kind: server.Removed})
		us.maps.Set(id, nil)
		return
	}
	sv := us.ct.view.Server(id)
	first := places[0]
	sv.Team, sv.Register, sv.Service, sv.DataCentre = first.team, first.register, first.service, first.dataCentre
	sv.Slots, sv.Connections = first.slots, first.connections
	for _, pl := range places[1:] {
		sv.Slots = min(sv.Slots, pl.slots)
		sv.Connections = min(sv.Connections, pl.connections)
	}
	us.ct.view = us.ct.view.WithServer(sv)
	us.step(id, server.Event{Kind: server.Listed})
}
