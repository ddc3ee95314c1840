package conns

import "github.com/cespare/xxhash/v2"

// Group is the replicas of one service in one data centre.
type Group struct {
	// Service must be unique over all teams and registers.
	Service    string
	DataCentre string
	Replicas   int
	// Limit is the connections that each replica accepts.
	Limit int
}

// GroupID names a group within its planner.
type GroupID int

// PlannerConfig sets a planner.
type PlannerConfig struct {
	Self VM
	// Far gives VMs in other data centres a part too. It pays while every such
	// VM can have a connection; with thousands of VMs hardly any does.
	Far bool
}

// Planner works out this VM's part of each server. The VMs themselves are not
// kept, only this VM's rank for each group, so that a VM that joins or leaves
// costs one hash for each group.
type Planner struct {
	cfg    PlannerConfig
	self   uint64
	groups []group
	vms    map[VM]uint64
	near   map[string]int
}

type group struct {
	Group
	hash uint64
	own  uint64
	rank int
	near bool
}

// NewPlanner makes a planner that counts this VM.
func NewPlanner(cfg PlannerConfig) *Planner {
	return &Planner{
		cfg:  cfg,
		self: xxhash.Sum64String(cfg.Self.Addr),
		vms:  make(map[VM]uint64),
		near: map[string]int{cfg.Self.DataCentre: 1},
	}
}

// Add takes a group.
func (pl *Planner) Add(gr Group) GroupID {
	one := group{Group: gr, hash: xxhash.Sum64String(gr.Service), near: gr.DataCentre == pl.cfg.Self.DataCentre}
	one.own = mix(one.hash, pl.self)
	for vm, hash := range pl.vms {
		one.count(vm, hash, 1)
	}
	pl.groups = append(pl.groups, one)
	return GroupID(len(pl.groups) - 1)
}

// Resize changes the number of a group's replicas.
func (pl *Planner) Resize(id GroupID, replicas int) {
	pl.groups[id].Replicas = replicas
}

// Apply takes a change of the roster.
func (pl *Planner) Apply(ch Change) {
	if ch.VM.Addr == pl.cfg.Self.Addr {
		return
	}
	by := -1
	hash, counted := pl.vms[ch.VM]
	if ch.Joined {
		by = 1
		hash = xxhash.Sum64String(ch.VM.Addr)
	}
	if counted == ch.Joined {
		return
	}
	if ch.Joined {
		pl.vms[ch.VM] = hash
	} else {
		delete(pl.vms, ch.VM)
	}
	pl.near[ch.VM.DataCentre] += by
	for i := range pl.groups {
		pl.groups[i].count(ch.VM, hash, by)
	}
}

// count moves this VM's rank for a VM of the same part.
func (gr *group) count(vm VM, hash uint64, by int) {
	if (vm.DataCentre == gr.DataCentre) != gr.near {
		return
	}
	if mix(gr.hash, hash) < gr.own {
		gr.rank += by
	}
}

// mix spreads the pair of hashes; it is the finaliser of SplitMix64.
func mix(service, vm uint64) uint64 {
	z := service ^ (vm * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Share is this VM's connections to one replica of a group.
func (pl *Planner) Share(id GroupID, replica int) int {
	gr := &pl.groups[id]
	part, count := pl.partOf(gr)
	return Share(part, count, gr.rank, replica)
}

// Users is how many VMs share a replica's connections with this one, itself
// counted.
func (pl *Planner) Users(id GroupID) int {
	part, count := pl.partOf(&pl.groups[id])
	return max(1, min(part, count))
}

func (pl *Planner) partOf(gr *group) (part, count int) {
	nearPart, farPart := Split(gr.Limit, pl.cfg.Far)
	count = pl.near[gr.DataCentre]
	if gr.near {
		return nearPart, count
	}
	return farPart, len(pl.vms) + 1 - count
}

// Unreached lists the services to no replica of which this VM has a
// connection: their limits are too low for so many VMs, and a search that needs
// them has to be run on another VM.
func (pl *Planner) Unreached() []string {
	reached := make(map[string]bool)
	var out []string
	for i := range pl.groups {
		reached[pl.groups[i].Service] = reached[pl.groups[i].Service] || pl.reaches(GroupID(i))
	}
	for i := range pl.groups {
		if service := pl.groups[i].Service; pl.groups[i].Replicas > 0 && !reached[service] {
			out = append(out, service)
			reached[service] = true
		}
	}
	return out
}

func (pl *Planner) reaches(id GroupID) bool {
	for replica := range pl.groups[id].Replicas {
		if pl.Share(id, replica) > 0 {
			return true
		}
	}
	return false
}
