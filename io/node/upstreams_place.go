package node

import (
	"cmp"
	"slices"

	"laburnumvane/core/server"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
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
	// byTeam are the servers that a team's document in force names.
	byTeam map[string][]view.ServerID
}

func newPlacement() *placement {
	return &placement{
		ids:        make(map[string]view.ServerID),
		byRegister: make(map[view.RegisterKey][]view.ServerID),
		byTeam:     make(map[string][]view.ServerID),
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
	named := make([]view.ServerID, 0, len(in))
	entries := make(map[view.ServerID][]place, len(in))
	for addr, places := range in {
		named = append(named, pc.ids[addr])
		entries[pc.ids[addr]] = places
	}
	for _, id := range slices.Concat(pc.byTeam[doc.Team], named) {
		next := slices.DeleteFunc(slices.Clone(pc.places[id]), func(pl place) bool { return pl.team == doc.Team })
		next = append(next, entries[id]...)
		slices.SortFunc(next, place.compare)
		if !slices.Equal(next, pc.places[id]) {
			pc.reindex(id, next)
			changed = append(changed, id)
		}
	}
	pc.byTeam[doc.Team] = named
	slices.Sort(changed)
	return changed, added
}

// reindex replaces a server's entries.
func (pc *placement) reindex(id view.ServerID, next []place) {
	for _, pl := range pc.places[id] {
		key := view.RegisterKey{Team: pl.team, Register: pl.register}
		pc.byRegister[key] = slices.DeleteFunc(pc.byRegister[key], func(other view.ServerID) bool { return other == id })
	}
	pc.places[id] = next
	for _, pl := range next {
		key := view.RegisterKey{Team: pl.team, Register: pl.register}
		if at, found := slices.BinarySearch(pc.byRegister[key], id); !found {
			pc.byRegister[key] = slices.Insert(pc.byRegister[key], at, id)
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
		us.plan.placed(us.now(), changed)
	}
	us.dirty = true
}

// add takes new servers. Their connections come with a part of the plan: at
// 32,000 servers pools for all would take 26 MB of the 64 that a node has for
// control, and a VM uses some hundred of them.
func (us *upstreams) add(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	nd := us.ct.nd
	ups := slices.Clone(*nd.ups.Load())
	for _, addr := range addrs {
		id := view.ServerID(len(ups))
		ups = append(ups, &upstream{Server: us.none, id: id, nd: nd})
		us.states.Add(id, addr)
		us.ct.view = us.ct.view.WithServer(view.Server{ID: id, Addr: addr})
	}
	nd.table.Grow(len(ups))
	nd.ups.Store(&ups)
	for i := len(ups) - len(addrs); i < len(ups); i++ {
		us.show(view.ServerID(i))
	}
}

// open makes the connections to servers that this VM begins to use. Traffic
// knows none of them yet, so that their counts may begin anew.
func (us *upstreams) open(ids []view.ServerID) {
	if len(ids) == 0 {
		return
	}
	nd := us.ct.nd
	ups := slices.Clone(*nd.ups.Load())
	pools := slices.Clone(*nd.servers.Load())
	for _, id := range ids {
		pool := us.newServer(us.ct.view.ServerRef(id).Addr)
		up := &upstream{Server: pool, id: id, nd: nd, pooled: true}
		up.known(us.states.Status(id))
		ups[id] = up
		pools = append(pools, pool)
	}
	nd.ups.Store(&ups)
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
