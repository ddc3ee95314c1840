package mirror

import (
	"cmp"
	"slices"

	"laburnumvane/core/rank"
)

// Member is a VM as listed in the store.
type Member struct {
	rank.VM
	// Capacity is in cores.
	Capacity float64
}

// readSalt makes the order of the VMs that read the store independent of other orders.
const readSalt = "read"

// Readers returns the VMs that read the full copy from the store when the fleet of a data
// centre boots: the largest VMs, one in eight. own reports whether this VM is one of them, and
// readers lists the others. All VMs of the data centre compute the same set, so they know whom
// to ask.
//
// If all VMs lost power and the seeds come back last, no VM would know another one, and 195
// VMs would read 450 kB each from the store at once, which occupies its link for 0.7 s. The
// list of VMs is a tenth of that size.
func Readers(self rank.VM, members []Member) (readers []string, own bool) {
	var local []Member
	for _, mb := range members {
		if mb.DataCentre == self.DataCentre {
			local = append(local, mb)
		}
	}
	slices.SortFunc(local, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(rank.Hash(readSalt, b.Addr), rank.Hash(readSalt, a.Addr)),
		)
	})
	for _, mb := range local[:(len(local)+vmsPerReader-1)/vmsPerReader] {
		if mb.Addr == self.Addr {
			own = true
			continue
		}
		readers = append(readers, mb.Addr)
	}
	return readers, own
}
