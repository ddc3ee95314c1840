package node

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"laburnumvane/core/conns"
	"laburnumvane/core/view"
)

// connPlan keeps this VM's part of each server's connections.
type connPlan struct {
	us      *upstreams
	self    conns.VM
	roster  *conns.Roster
	planner *conns.Planner
	ramp    *conns.Ramp
	counted map[conns.VM]bool
	// slots is each server's place in the planner.
	slots []planSlot
	used  []bool
	// settled, cautious and far are as the shares in force assume.
	settled, cautious, far bool
}

type planSlot struct {
	group   conns.GroupID
	replica int
	listed  bool
}

func newConnPlan(us *upstreams, self conns.VM) *connPlan {
	cp := &connPlan{us: us, self: self, counted: make(map[conns.VM]bool), far: true}
	cp.roster = conns.NewRoster(conns.RosterConfig{Self: self, Hold: departedHold, Patience: listPatience})
	cp.planner = conns.NewPlanner(conns.PlannerConfig{Self: self, Far: true})
	cp.ramp = conns.NewRamp(conns.RampConfig{Rand: us.rnd, Setup: connectSetup, Load: connectLoad})
	return cp
}

// uses tells whether this VM has connections to a server, or will have.
func (cp *connPlan) uses(id view.ServerID) bool {
	return int(id) < len(cp.used) && cp.used[id]
}

// members takes the VMs seen now.
func (cp *connPlan) members(now time.Duration, vms []conns.VM) {
	cp.take(now, cp.roster.Update(now, vms))
}

func (cp *connPlan) tick(now time.Duration) {
	cp.take(now, cp.roster.Expire(now))
	cp.limit(cp.ramp.Wake(now))
}

func (cp *connPlan) take(now time.Duration, changes []conns.Change) {
	for _, ch := range changes {
		if ch.Joined {
			cp.counted[ch.VM] = true
		} else {
			delete(cp.counted, ch.VM)
		}
		cp.planner.Apply(ch)
	}
	settled, cautious := cp.roster.Settled(now), cp.roster.Cautious(now)
	anew := len(changes) > 0 || settled != cp.settled || cautious != cp.cautious
	cp.settled, cp.cautious = settled, cautious
	if far := cp.roster.Len() <= farVMs; far != cp.far {
		cp.far = far
		cp.rebuild(now)
		return
	}
	if anew {
		cp.apply(now)
	}
}

// rebuild makes the planner anew, as after a change of the configuration: one
// group for each service and data centre, its replicas by address, so that all
// VMs number them alike.
func (cp *connPlan) rebuild(now time.Duration) {
	cp.planner = conns.NewPlanner(conns.PlannerConfig{Self: cp.self, Far: cp.far})
	for vm := range cp.counted {
		cp.planner.Apply(conns.Change{VM: vm, Joined: true})
	}
	servers := cp.us.ct.view.Servers()
	cp.slots = make([]planSlot, len(servers))
	servers = slices.DeleteFunc(servers, func(sv view.Server) bool { return len(cp.us.placed.places[sv.ID]) == 0 })
	slices.SortFunc(servers, func(a, b view.Server) int {
		return cmp.Or(cmp.Compare(cp.groupOf(a), cp.groupOf(b)), cmp.Compare(a.Connections, b.Connections), cmp.Compare(a.Addr, b.Addr))
	})
	for len(servers) > 0 {
		n := 1
		for n < len(servers) && cp.alike(servers[0], servers[n]) {
			n++
		}
		cp.addGroup(servers[:n])
		servers = servers[n:]
	}
	cp.apply(now)
}

func (cp *connPlan) groupOf(sv view.Server) string {
	return cp.us.placed.places[sv.ID][0].group() + "@" + sv.DataCentre
}

// alike tells whether two servers are replicas of one group. Servers of one
// service whose limits differ, as where one stands in another register too, are
// divided apart.
func (cp *connPlan) alike(a, b view.Server) bool {
	return a.Connections == b.Connections && cp.groupOf(a) == cp.groupOf(b)
}

func (cp *connPlan) addGroup(servers []view.Server) {
	first := servers[0]
	group := cp.planner.Add(conns.Group{
		Service:    cp.us.placed.places[first.ID][0].group() + "#" + strconv.Itoa(first.Connections),
		DataCentre: first.DataCentre,
		Replicas:   len(servers),
		Limit:      first.Connections,
	})
	for i, sv := range servers {
		cp.slots[sv.ID] = planSlot{group: group, replica: i, listed: true}
	}
}

// apply works out all shares; only what changed reaches the connections.
func (cp *connPlan) apply(now time.Duration) {
	for i := range cp.slots {
		id := view.ServerID(i)
		share, users := cp.shareOf(id)
		cp.limit(cp.ramp.Set(now, id, share, users))
		cp.use(now, id, share > 0)
	}
}

func (cp *connPlan) shareOf(id view.ServerID) (share, users int) {
	sl := cp.slots[id]
	if !sl.listed || !cp.settled {
		return 0, 1
	}
	share = cp.planner.Share(sl.group, sl.replica)
	if cp.cautious {
		share = min(share, 1)
	}
	return share, cp.planner.Users(sl.group)
}

// use takes a server into the maps and the polls, or out of them.
func (cp *connPlan) use(now time.Duration, id view.ServerID, used bool) {
	for int(id) >= len(cp.used) {
		cp.used = append(cp.used, false)
	}
	cp.us.polls.Use(now, id, used)
	if cp.used[id] && !used {
		cp.us.maps.Set(id, nil)
	}
	cp.used[id] = used
}

func (cp *connPlan) limit(limits []conns.Limit) {
	for _, li := range limits {
		cp.us.ct.nd.upstream(li.ID).SetLimit(li.N)
	}
}

func (cp *connPlan) restart(now time.Duration, id view.ServerID) {
	if int(id) < len(cp.slots) {
		cp.limit(cp.ramp.Restart(now, id))
	}
}

func (cp *connPlan) refused(now time.Duration, id view.ServerID, open int) {
	cp.limit(cp.ramp.Refused(now, id, open))
}
