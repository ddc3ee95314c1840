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

// Change is a VM that begins or ceases to be counted.
type Change struct {
	VM     VM
	Joined bool
}

// RosterConfig sets a roster.
type RosterConfig struct {
	Self VM
	// Hold is how long a VM that is no longer seen is still counted: its
	// connections may outlive it, and it may be only out of sight.
	Hold time.Duration
	// Patience is how long after its start a VM that sees no list of VMs waits
	// before it takes itself for settled, and how long one that sees a list does
	// not rely on it: VMs that start together are not in each other's list.
	Patience time.Duration
}

// Roster keeps the VMs that are counted. Joins count at once, departures after
// Hold: to count one VM too many costs a few connections, one too few breaks
// a server's limit.
type Roster struct {
	cfg     RosterConfig
	vms     map[string]entry
	settled bool
}

type entry struct {
	vm VM
	// until is when a VM that is out of sight ceases to count; 0 while seen.
	until time.Duration
}

// NewRoster makes a roster that counts only this VM.
func NewRoster(cfg RosterConfig) *Roster {
	return &Roster{cfg: cfg, vms: map[string]entry{cfg.Self.Addr: {vm: cfg.Self}}}
}

// Update takes the VMs seen now, live and leaving ones alike, and returns what
// changed. From then on the roster is settled.
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
		if counted && old.vm == vm && old.until == 0 {
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
		if !present[addr] && en.until == 0 {
			en.until = now + ro.cfg.Hold
			ro.vms[addr] = en
		}
	}
	return append(out, ro.Expire(now)...)
}

// Expire ceases to count the VMs that have been out of sight for Hold.
func (ro *Roster) Expire(now time.Duration) []Change {
	var out []Change
	for addr, en := range ro.vms {
		if en.until != 0 && en.until <= now {
			delete(ro.vms, addr)
			out = append(out, Change{VM: en.vm})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.VM.Addr, b.VM.Addr) })
	return out
}

// Settled tells whether shares may be used. Before it, the roster counts this
// VM alone, which would take the whole of every server.
func (ro *Roster) Settled(now time.Duration) bool {
	return ro.settled || now >= ro.cfg.Patience
}

// Cautious tells that the list of VMs was never seen, or that this VM is so young
// that others may not be in it yet. Then only one connection to each server may
// be used, whatever the share: of VMs that start together, as many as a server
// has connections then stay within its limit.
func (ro *Roster) Cautious(now time.Duration) bool {
	return !ro.settled || now < ro.cfg.Patience
}

// Len is the number of VMs counted.
func (ro *Roster) Len() int { return len(ro.vms) }
