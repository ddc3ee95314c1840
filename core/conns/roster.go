package conns

import (
	"slices"
	"strings"
	"time"
)

// VM is a VM that may hold connections.
type VM struct {
	Addr       string
	DataCentre string
}

// Change is a VM that is counted from now on, or no longer.
type Change struct {
	VM     VM
	Joined bool
}

// RosterConfig configures a Roster.
type RosterConfig struct {
	Self VM
	// DepartureDelay is how long a VM that is no longer in the list is still counted: its connections
	// may outlive it, or it may only be unreachable.
	DepartureDelay time.Duration
	// SettleTime is how long after its start a VM without a list of VMs waits before it counts as
	// settled, and for how long a VM with a list is cautious: VMs that start together are not in
	// each other's lists.
	SettleTime time.Duration
}

// Roster is the set of VMs that are counted for the division. A VM that joins counts at once, and
// one that leaves is removed after DepartureDelay: to count one VM too many costs a few
// connections, one too few exceeds a server's limit.
type Roster struct {
	cfg     RosterConfig
	vms     map[string]entry
	settled bool
}

type entry struct {
	vm VM
	// countedUntil is when a VM that is not in the list is removed; 0 while it is in the list.
	countedUntil time.Duration
}

// NewRoster returns a roster that counts only this VM.
func NewRoster(cfg RosterConfig) *Roster {
	return &Roster{cfg: cfg, vms: map[string]entry{cfg.Self.Addr: {vm: cfg.Self}}}
}

// Update takes the current list of VMs, including the ones that are leaving, and returns the
// resulting changes. From the first call on the roster is settled.
func (ro *Roster) Update(now time.Duration, seen []VM) []Change {
	ro.settled = true
	var out []Change
	present := make(map[string]bool, len(seen)+1)
	present[ro.cfg.Self.Addr] = true
	for _, vm := range seen {
		present[vm.Addr] = true
		if vm.Addr == ro.cfg.Self.Addr {
			continue
		}
		old, counted := ro.vms[vm.Addr]
		if counted && old.vm == vm && old.countedUntil == 0 {
			continue
		}
		if counted && old.vm != vm {
			out = append(out, Change{VM: old.vm})
		}
		if !counted || old.vm != vm {
			out = append(out, Change{VM: vm, Joined: true})
		}
		ro.vms[vm.Addr] = entry{vm: vm}
	}
	for addr, en := range ro.vms {
		if !present[addr] && en.countedUntil == 0 {
			en.countedUntil = now + ro.cfg.DepartureDelay
			ro.vms[addr] = en
		}
	}
	return append(out, ro.Expire(now)...)
}

// Expire removes the VMs that have not been in the list for DepartureDelay, and returns them as
// changes.
func (ro *Roster) Expire(now time.Duration) []Change {
	var out []Change
	for addr, en := range ro.vms {
		if en.countedUntil != 0 && en.countedUntil <= now {
			delete(ro.vms, addr)
			out = append(out, Change{VM: en.vm})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.VM.Addr, b.VM.Addr) })
	return out
}

// Settled reports whether shares may be used. Until then the roster counts this VM alone, whose
// share would be all connections of every server.
func (ro *Roster) Settled(now time.Duration) bool {
	return ro.settled || now >= ro.cfg.SettleTime
}

// Cautious reports whether this VM never received a list of VMs, or is so young that it may be
// missing from the lists of others. In this state it may use only one connection to each server,
// whatever its share: then a server's limit holds if no more VMs start together than it has
// connections.
func (ro *Roster) Cautious(now time.Duration) bool {
	return !ro.settled || now < ro.cfg.SettleTime
}

// Len returns the number of VMs counted.
func (ro *Roster) Len() int { return len(ro.vms) }
