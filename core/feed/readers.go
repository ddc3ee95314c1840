package feed

import (
	"cmp"
	"slices"

	"laburnumvane/core/rank"
)

// Member is a VM as its entry in the store says.
type Member struct {
	rank.VM
	// Capacity is in cores.
	Capacity float64
}

// readSalt sets the order of those that read the store apart from others.
const readSalt = "read"

// Readers are the VMs that read the store whole when the fleet of a data centre boots:
// the largest of them, one in eight, and own if this VM is one of them. All VMs of the
// data centre work out the same, so that they know whom to ask.
//
// Where all lost their power and the seeds are the last to come back, nobody would know
// anybody, and 195 VMs would read 450 kB each from the store at once, which takes its
// link 0.7 s. The list of VMs is a tenth of that.
func Readers(self rank.VM, members []Member) (readers []string, own bool) {
	var near []Member
	for _, me := range members {
		if me.DataCentre == self.DataCentre {
			near = append(near, me)
		}
	}
	slices.SortFunc(near, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(rank.Hash(readSalt, b.Addr), rank.Hash(readSalt, a.Addr)),
		)
	})
	for _, me := range near[:(len(near)+readersEvery-1)/readersEvery] {
		if me.Addr == self.Addr {
			own = true
			continue
		}
		readers = append(readers, me.Addr)
	}
	return readers, own
}
