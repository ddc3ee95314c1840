package conns

import "github.com/cespare/xxhash/v2"

// Group is the set of replicas of one service in one data centre.
type Group struct {
	// Service must be unique over all teams and registers.
	Service    string
	DataCentre string
	Replicas   int
	// Limit is the number of connections that each replica accepts.
	Limit int
}

// GroupID identifies a group within its planner.
type GroupID int

// PlannerConfig configures a Planner.
type PlannerConfig struct {
	Self VM
	// Remote gives a part of the connections to VMs in other data centres. This is useful while
	// every such VM can get a connection; with thousands of VMs hardly any does.
	Remote bool
}

// Planner computes this VM's share of each server's connections. For each group it keeps only this
// VM's rank, so that a VM that joins or leaves costs one hash per group.
type Planner struct {
	cfg      PlannerConfig
	selfHash uint64
	groups   []group
	vms      map[VM]uint64
	vmsPerDC map[string]int
}

type group struct {
	Group
	hash      uint64
	selfScore uint64
	rank      int
	local     bool
}

// NewPlanner returns a planner that counts only this VM.
func NewPlanner(cfg PlannerConfig) *Planner {
	return &Planner{
		cfg:      cfg,
		selfHash: xxhash.Sum64String(cfg.Self.Addr),
		vms:      make(map[VM]uint64),
		vmsPerDC: map[string]int{cfg.Self.DataCentre: 1},
	}
}

// Add adds a group and returns its id.
func (pl *Planner) Add(gr Group) GroupID {
	added := group{Group: gr, hash: xxhash.Sum64String(gr.Service), local: gr.DataCentre == pl.cfg.Self.DataCentre}
	added.selfScore = mix(added.hash, pl.selfHash)
	for vm, hash := range pl.vms {
		added.count(vm, hash, 1)
	}
	pl.groups = append(pl.groups, added)
	return GroupID(len(pl.groups) - 1)
}

// Resize changes the number of a group's replicas.
func (pl *Planner) Resize(id GroupID, replicas int) {
	pl.groups[id].Replicas = replicas
}

// Apply applies a change of the roster. A change that is already applied has no effect.
func (pl *Planner) Apply(ch Change) {
	if ch.VM.Addr == pl.cfg.Self.Addr {
		return
	}
	delta := -1
	hash, counted := pl.vms[ch.VM]
	if ch.Joined {
		delta = 1
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
	pl.vmsPerDC[ch.VM.DataCentre] += delta
	for i := range pl.groups {
		pl.groups[i].count(ch.VM, hash, delta)
	}
}

// count adjusts this VM's rank for a VM that shares the same part of the connections.
func (gr *group) count(vm VM, hash uint64, delta int) {
	if (vm.DataCentre == gr.DataCentre) != gr.local {
		return
	}
	if mix(gr.hash, hash) < gr.selfScore {
		gr.rank += delta
	}
}

// mix combines the two hashes with the finaliser of SplitMix64.
func mix(service, vm uint64) uint64 {
	z := service ^ (vm * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Share returns how many connections this VM may have to one replica of a group.
func (pl *Planner) Share(id GroupID, replica int) int {
	gr := &pl.groups[id]
	part, count := pl.partOf(gr)
	return Share(part, count, gr.rank, replica)
}

// Users returns how many VMs share a replica's connections, this one included.
func (pl *Planner) Users(id GroupID) int {
	part, count := pl.partOf(&pl.groups[id])
	return max(1, min(part, count))
}

func (pl *Planner) partOf(gr *group) (part, count int) {
	localPart, remotePart := Split(gr.Limit, pl.cfg.Remote)
	count = pl.vmsPerDC[gr.DataCentre]
	if gr.local {
		return localPart, count
	}
	return remotePart, len(pl.vms) + 1 - count
}

// Unreached returns the services of which no replica has a connection for this VM. Their limits
// are too low for the number of VMs, and a search that needs them has to run on another VM.
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
