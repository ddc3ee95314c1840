package mirror

import (
	"slices"

	"laburnumvane/core/rank"
)

// SetPeers replaces the list of VMs; it may include this VM.
func (se *Selector) SetPeers(peers []rank.VM) {
	self := se.cfg.Self
	byDC := map[string][]rank.VM{self.DataCentre: {self}}
	for _, vm := range peers {
		if vm.Addr != self.Addr {
			byDC[vm.DataCentre] = append(byDC[vm.DataCentre], vm)
		}
	}
	se.local = rank.Order(byDC[self.DataCentre], watchSalt)
	se.before = slices.IndexFunc(se.local, func(vm rank.VM) bool { return vm.Addr == self.Addr })
	se.remote, se.higherFirsts = nil, nil
	se.firsts = map[string]bool{se.local[0].Addr: true}
	var rest []rank.VM
	ownSeen := false
	for _, dc := range dataCentreOrder(byDC) {
		if dc == self.DataCentre {
			ownSeen = true
			continue
		}
		vms := rank.Order(byDC[dc], watchSalt)
		if !ownSeen {
			se.higherFirsts = append(se.higherFirsts, vms[0])
		}
		se.remote = append(se.remote, vms[0])
		se.firsts[vms[0].Addr] = true
		rest = append(rest, vms[1:]...)
	}
	se.remote = append(rank.Order(se.remote, self.Addr), rank.Order(rest, self.Addr)...)
}

// dataCentreOrder ranks the data centres.
func dataCentreOrder(byDC map[string][]rank.VM) []string {
	vms := make([]rank.VM, 0, len(byDC))
	for dc := range byDC {
		vms = append(vms, rank.VM{Addr: dc})
	}
	names := make([]string, len(vms))
	for i, vm := range rank.Order(vms, watchSalt) {
		names[i] = vm.Addr
	}
	return names
}
