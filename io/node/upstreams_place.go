package node

import (
	"cmp"
	"slices"

	"laburnumvane/core/server"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
)

// serverEntry is one entry of a server in a team's configuration. A server, identified by its
// address, may have entries in several registers and teams.
type serverEntry struct {
	team, register, service string
	dataCentre              string
	slots, connections      int
}

func (pl serverEntry) compare(other serverEntry) int {
	return cmp.Or(
		cmp.Compare(pl.team, other.team),
		cmp.Compare(pl.register, other.register),
		cmp.Compare(pl.service, other.service),
	)
}

// group returns the name of the service whose connections are divided among the VMs.
func (pl serverEntry) group() string {
	return pl.team + "/" + pl.register + "/" + pl.service
}

// placement holds the entries of each server in the teams' configurations.
type placement struct {
	ids        map[string]view.ServerID
	entries    [][]serverEntry
	byRegister map[view.RegisterKey][]view.ServerID
	// byTeam holds the servers that a team's document in force lists.
	byTeam map[string][]view.ServerID
}

func newPlacement() *placement {
	return &placement{
		ids:        make(map[string]view.ServerID),
		byRegister: make(map[view.RegisterKey][]view.ServerID),
		byTeam:     make(map[string][]view.ServerID),
	}
}

// registersOf returns the registers with a name, of any team, that a server has entries in.
func (pc *placement) registersOf(id view.ServerID, register string) []view.RegisterKey {
	var out []view.RegisterKey
	for _, pl := range pc.entries[id] {
		key := view.RegisterKey{Team: pl.team, Register: pl.register}
		if pl.register == register && !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out
}

// entriesByAddr returns the server entries of a document by address.
func entriesByAddr(doc team.Document) map[string][]serverEntry {
	out := make(map[string][]serverEntry)
	for register, rg := range doc.Registers {
		for service, sc := range rg.Services {
			for _, sr := range sc.Servers {
				out[sr.Addr] = append(out[sr.Addr], serverEntry{
					team: doc.Team, register: register, service: service, dataCentre: sr.DataCentre,
					slots: sc.SlotsPerServer, connections: sc.ConnectionsPerServer,
				})
			}
		}
	}
	return out
}

// put replaces a team's entries. It returns the ids of the servers whose entries changed, and
// the addresses of those that are new.
func (pc *placement) put(doc team.Document) (changed []view.ServerID, added []string) {
	in := entriesByAddr(doc)
	for addr := range in {
		if _, ok := pc.ids[addr]; !ok {
			added = append(added, addr)
		}
	}
	slices.Sort(added)
	for _, addr := range added {
		pc.ids[addr] = view.ServerID(len(pc.entries))
		pc.entries = append(pc.entries, nil)
	}
	named := make([]view.ServerID, 0, len(in))
	entries := make(map[view.ServerID][]serverEntry, len(in))
	for addr, places := range in {
		named = append(named, pc.ids[addr])
		entries[pc.ids[addr]] = places
	}
	for _, id := range slices.Concat(pc.byTeam[doc.Team], named) {
		next := slices.DeleteFunc(slices.Clone(pc.entries[id]), func(pl serverEntry) bool { return pl.team == doc.Team })
		next = append(next, entries[id]...)
		slices.SortFunc(next, serverEntry.compare)
		if !slices.Equal(next, pc.entries[id]) {
			pc.reindex(id, next)
			changed = append(changed, id)
		}
	}
	pc.byTeam[doc.Team] = named
	slices.Sort(changed)
	return changed, added
}

// reindex replaces a server's entries.
func (pc *placement) reindex(id view.ServerID, next []serverEntry) {
	for _, pl := range pc.entries[id] {
		key := view.RegisterKey{Team: pl.team, Register: pl.register}
		pc.byRegister[key] = slices.DeleteFunc(pc.byRegister[key], func(other view.ServerID) bool { return other == id })
	}
	pc.entries[id] = next
	for _, pl := range next {
		key := view.RegisterKey{Team: pl.team, Register: pl.register}
		if at, found := slices.BinarySearch(pc.byRegister[key], id); !found {
			pc.byRegister[key] = slices.Insert(pc.byRegister[key], at, id)
		}
	}
}

// updateServers applies a team's document: new servers get an id and connections, servers that
// are no longer listed are drained, and changed limits take effect.
func (ct *control) updateServers(doc team.Document) {
	us := ct.upstreams
	changed, added := us.placement.put(doc)
	us.addServers(added)
	for _, id := range changed {
		us.updateServer(id)
	}
	if len(changed) > 0 {
		us.plan.regroup(us.now(), changed)
	}
	us.viewChanged = true
}

// addServers adds new servers without connection pools. A server gets a pool when this VM has a
// share of its connections: with 32,000 servers, pools for all of them would take 26 MB of the
// 64 MB that a VM has for control, and a VM uses only some hundred of them.
func (us *upstreams) addServers(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	nd := us.ct.nd
	ups := slices.Clone(*nd.upstreams.Load())
	for _, addr := range addrs {
		id := view.ServerID(len(ups))
		ups = append(ups, &upstream{Server: us.noServer, id: id, nd: nd})
		us.states.Add(id, addr)
		us.ct.view = us.ct.view.WithServer(view.Server{ID: id, Addr: addr})
	}
	nd.table.Grow(len(ups))
	nd.upstreams.Store(&ups)
	for i := len(ups) - len(addrs); i < len(ups); i++ {
		us.updateView(view.ServerID(i))
	}
}

// openPools makes the connection pools of servers that this VM begins to use. No search has used
// these servers yet, so their counters may start again at 0.
func (us *upstreams) openPools(ids []view.ServerID) {
	if len(ids) == 0 {
		return
	}
	nd := us.ct.nd
	ups := slices.Clone(*nd.upstreams.Load())
	pools := slices.Clone(*nd.pools.Load())
	for _, id := range ids {
		pool := us.newServer(us.ct.view.ServerRef(id).Addr)
		up := &upstream{Server: pool, id: id, nd: nd, pooled: true}
		up.setStatus(us.states.Status(id))
		ups[id] = up
		pools = append(pools, pool)
	}
	nd.upstreams.Store(&ups)
	nd.pools.Store(&pools)
}

// updateServer puts a server's entries into the view. If several entries have limits for one
// server, the lowest applies, which satisfies all of them.
func (us *upstreams) updateServer(id view.ServerID) {
	places := us.placement.entries[id]
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
