package node

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"laburnumvane/core/conns"
	"laburnumvane/core/view"
)

// connPlan maintains this VM's share of each server's connections.
type connPlan struct {
	us      *upstreams
	self    conns.VM
	roster  *conns.Roster
	planner *conns.Planner
	ramp    *conns.Ramp
	vms     map[conns.VM]bool
	// slots is each server's position in the planner, by server id.
	slots  []planSlot
	groups map[string]*planGroup
	used   []bool
	// settled, cautious and remote are the values that the current shares are based on.
	settled, cautious, remote bool
}

type planSlot struct {
	group   *planGroup
	replica int
}

// planGroup is the replicas of one service in one data centre. They are sorted by address, so
// that all VMs number them alike.
type planGroup struct {
	id      conns.GroupID
	members []view.ServerID
}

func newConnPlan(us *upstreams, self conns.VM) *connPlan {
	cp := &connPlan{us: us, self: self, vms: make(map[conns.VM]bool), groups: make(map[string]*planGroup), remote: true}
	cp.roster = conns.NewRoster(conns.RosterConfig{Self: self, DepartureDelay: departureDelay, SettleTime: listSettleTime})
	cp.planner = conns.NewPlanner(conns.PlannerConfig{Self: self, Remote: true})
	cp.ramp = conns.NewRamp(conns.RampConfig{Rand: us.rnd, SetupTime: connSetupTime, SetupShare: connSetupShare})
	return cp
}

// uses reports whether this VM has a share of a server's connections.
func (cp *connPlan) uses(id view.ServerID) bool {
	return int(id) < len(cp.used) && cp.used[id]
}

// members processes the VMs that currently may hold connections.
func (cp *connPlan) members(now time.Duration, vms []conns.VM) {
	cp.applyChanges(now, cp.roster.Update(now, vms))
}

func (cp *connPlan) tick(now time.Duration) {
	cp.applyChanges(now, cp.roster.Expire(now))
	cp.setLimits(cp.ramp.Wake(now))
}

func (cp *connPlan) applyChanges(now time.Duration, changes []conns.Change) {
	for _, ch := range changes {
		if ch.Joined {
			cp.vms[ch.VM] = true
		} else {
			delete(cp.vms, ch.VM)
		}
		cp.planner.Apply(ch)
	}
	settled, cautious := cp.roster.Settled(now), cp.roster.Cautious(now)
	changed := len(changes) > 0 || settled != cp.settled || cautious != cp.cautious
	cp.settled, cp.cautious = settled, cautious
	if remote := cp.roster.Len() <= maxVMsForRemoteShares; remote != cp.remote {
		cp.remote = remote
		cp.rebuild(now)
		return
	}
	if changed {
		cp.updateShares(now)
	}
}

// rebuild replaces the planner with a new one.
func (cp *connPlan) rebuild(now time.Duration) {
	cp.planner = conns.NewPlanner(conns.PlannerConfig{Self: cp.self, Remote: cp.remote})
	for vm := range cp.vms {
		cp.planner.Apply(conns.Change{VM: vm, Joined: true})
	}
	clear(cp.groups)
	clear(cp.slots)
	all := make([]view.ServerID, cp.us.ct.view.Len())
	for i := range all {
		all[i] = view.ServerID(i)
	}
	cp.regroup(now, all)
}

// regroup processes servers whose configuration entries have changed.
func (cp *connPlan) regroup(now time.Duration, ids []view.ServerID) {
	touched := make(map[*planGroup]bool)
	for _, id := range ids {
		for int(id) >= len(cp.slots) {
			cp.slots = append(cp.slots, planSlot{})
		}
		if gr := cp.slots[id].group; gr != nil {
			gr.members = slices.DeleteFunc(gr.members, func(other view.ServerID) bool { return other == id })
			cp.slots[id] = planSlot{}
			touched[gr] = true
		}
		if len(cp.us.placement.entries[id]) > 0 {
			gr := cp.groupOf(id)
			gr.members = append(gr.members, id)
			touched[gr] = true
		}
	}
	for gr := range touched {
		cp.renumber(gr)
	}
	cp.updateShares(now)
}

// renumber assigns the numbers of a group's replicas.
func (cp *connPlan) renumber(gr *planGroup) {
	vw := cp.us.ct.view
	slices.SortFunc(gr.members, func(a, b view.ServerID) int {
		return cmp.Compare(vw.ServerRef(a).Addr, vw.ServerRef(b).Addr)
	})
	for i, id := range gr.members {
		cp.slots[id] = planSlot{group: gr, replica: i}
	}
	cp.planner.Resize(gr.id, len(gr.members))
}

// groupOf returns the group of a server and adds it if it is new. Servers of one service with
// different limits, as when one is in a second register too, are in different groups.
func (cp *connPlan) groupOf(id view.ServerID) *planGroup {
	sv := cp.us.ct.view.ServerRef(id)
	service := cp.us.placement.entries[id][0].group() + "#" + strconv.Itoa(sv.Connections)
	key := service + "@" + sv.DataCentre
	gr, ok := cp.groups[key]
	if !ok {
		gr = &planGroup{id: cp.planner.Add(conns.Group{Service: service, DataCentre: sv.DataCentre, Limit: sv.Connections})}
		cp.groups[key] = gr
	}
	return gr
}

// updateShares recomputes all shares and opens the pools of servers that are used for the first
// time. Only changed shares reach the connections.
func (cp *connPlan) updateShares(now time.Duration) {
	var unopened []view.ServerID
	for i := range cp.slots {
		id := view.ServerID(i)
		if share, _ := cp.shareOf(id); share > 0 && !cp.us.ct.nd.upstream(id).pooled {
			unopened = append(unopened, id)
		}
	}
	cp.us.openPools(unopened)
	for i := range cp.slots {
		id := view.ServerID(i)
		share, users := cp.shareOf(id)
		cp.setLimits(cp.ramp.Set(now, id, share, users))
		cp.setUsed(now, id, share > 0)
	}
}

func (cp *connPlan) shareOf(id view.ServerID) (share, users int) {
	sl := cp.slots[id]
	if sl.group == nil || !cp.settled {
		return 0, 1
	}
	share = cp.planner.Share(sl.group.id, sl.replica)
	if cp.cautious {
		share = min(share, 1)
	}
	return share, cp.planner.Users(sl.group.id)
}

// setUsed includes a server in the polls or removes it from the polls and maps.
func (cp *connPlan) setUsed(now time.Duration, id view.ServerID, used bool) {
	for int(id) >= len(cp.used) {
		cp.used = append(cp.used, false)
	}
	cp.us.polls.Use(now, id, used)
	if cp.used[id] && !used {
		cp.us.maps.Set(id, nil)
	}
	cp.used[id] = used
}

func (cp *connPlan) setLimits(limits []conns.Limit) {
	for _, li := range limits {
		if up := cp.us.ct.nd.upstream(li.ID); up.pooled {
			up.SetLimit(li.N)
		}
	}
}

func (cp *connPlan) restart(now time.Duration, id view.ServerID) {
	if int(id) < len(cp.slots) {
		cp.setLimits(cp.ramp.Restart(now, id))
	}
}

func (cp *connPlan) refused(now time.Duration, id view.ServerID, open int) {
	cp.setLimits(cp.ramp.Refused(now, id, open))
}
