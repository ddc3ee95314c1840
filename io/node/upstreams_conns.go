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
	slots  []planSlot
	groups map[string]*planGroup
	used   []bool
	// settled, cautious and far are as the shares in force assume.
	settled, cautious, far bool
}

type planSlot struct {
	group   *planGroup
	replica int
}

// planGroup is the replicas of one service in one data centre, by address, so
// that all VMs number them alike.
type planGroup struct {
	id      conns.GroupID
	members []view.ServerID
}

func newConnPlan(us *upstreams, self conns.VM) *connPlan {
	cp := &connPlan{us: us, self: self, counted: make(map[conns.VM]bool), groups: make(map[string]*planGroup), far: true}
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

// rebuild makes the planner anew.
func (cp *connPlan) rebuild(now time.Duration) {
	cp.planner = conns.NewPlanner(conns.PlannerConfig{Self: cp.self, Far: cp.far})
	for vm := range cp.counted {
		cp.planner.Apply(conns.Change{VM: vm, Joined: true})
	}
	clear(cp.groups)
	clear(cp.slots)
	all := make([]view.ServerID, cp.us.ct.view.Len())
	for i := range all {
		all[i] = view.ServerID(i)
	}
	cp.placed(now, all)
}

// placed takes servers whose place in the configuration has changed.
func (cp *connPlan) placed(now time.Duration, ids []view.ServerID) {
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
		if len(cp.us.placed.places[id]) > 0 {
			gr := cp.groupOf(id)
			gr.members = append(gr.members, id)
			touched[gr] = true
		}
	}
	for gr := range touched {
		cp.number(gr)
	}
	cp.apply(now)
}

// number gives a group's replicas their numbers.
func (cp *connPlan) number(gr *planGroup) {
	vw := cp.us.ct.view
	slices.SortFunc(gr.members, func(a, b view.ServerID) int {
		return cmp.Compare(vw.ServerRef(a).Addr, vw.ServerRef(b).Addr)
	})
	for i, id := range gr.members {
		cp.slots[id] = planSlot{group: gr, replica: i}
	}
	cp.planner.Resize(gr.id, len(gr.members))
}

// groupOf is the group that a server belongs to. Servers of one service whose
// limits differ, as where one stands in another register too, are divided apart.
func (cp *connPlan) groupOf(id view.ServerID) *planGroup {
	sv := cp.us.ct.view.ServerRef(id)
	service := cp.us.placed.places[id][0].group() + "#" + strconv.Itoa(sv.Connections)
	key := service + "@" + sv.DataCentre
	gr, ok := cp.groups[key]
	if !ok {
		gr = &planGroup{id: cp.planner.Add(conns.Group{Service: service, DataCentre: sv.DataCentre, Limit: sv.Connections})}
		cp.groups[key] = gr
	}
	return gr
}

// apply works out all shares; only what changed reaches the connections.
func (cp *connPlan) apply(now time.Duration) {
	var fresh []view.ServerID
	for i := range cp.slots {
		id := view.ServerID(i)
		if share, _ := cp.shareOf(id); share > 0 && !cp.us.ct.nd.upstream(id).pooled {
			fresh = append(fresh, id)
		}
	}
	cp.us.open(fresh)
	for i := range cp.slots {
		id := view.ServerID(i)
		share, users := cp.shareOf(id)
		cp.limit(cp.ramp.Set(now, id, share, users))
		cp.use(now, id, share > 0)
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
		if up := cp.us.ct.nd.upstream(li.ID); up.pooled {
			up.SetLimit(li.N)
		}
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
