package member

import (
	"cmp"
	"slices"
)

// successors returns the VMs after self on each ring of its data centre, each
// once. VMs that are gone or were never heard from have no place on a ring.
func (tb *table) successors(self *record) []*record {
	var out []*record
	for ring := range self.places {
		next := tb.successor(self, ring)
		if next != nil && !slices.Contains(out, next) {
			out = append(out, next)
		}
	}
	return out
}

// successor is the record whose place on the ring is the least above self's, or
// else the least of all.
func (tb *table) successor(self *record, ring int) *record {
	var best *record
	for _, rc := range tb.area(self.DataCentre).records {
		if rc == self || !rc.present() {
			continue
		}
		// Wrapping subtraction gives the way round the ring from self.
		if best == nil || rc.places[ring]-self.places[ring] < best.places[ring]-self.places[ring] {
			best = rc
		}
	}
	return best
}

// present tells whether the VM is to be watched.
func (rc *record) present() bool {
	st := rc.State()
	return st != StateGone && st != StateCandidate
}

// ranked orders the VMs of the data centre from by their rank for talking to
// the data centre to. Those that can take duties come first. The others follow,
// as a data centre whose VMs were all replaced while it was cut off can only be
// reached through the list.
func (tb *table) ranked(from, to string) []*record {
	type place struct {
		rc   *record
		able bool
		rank uint64
	}
	var places []place
	for _, rc := range tb.area(from).records {
		st := rc.State()
		if st != StateGone {
			places = append(places, place{rc: rc, able: st == StateLive, rank: hash("relay", from, to, rc.Addr)})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.able != b.able {
			if a.able {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.rc.Addr, b.rc.Addr))
	})
	out := make([]*record, len(places))
	for i, pl := range places {
		out[i] = pl.rc
	}
	return out
}

// Rank returns the n VMs that rank first for a duty, highest first. All who
// hold the same VMs agree on the result, and when a VM goes only its own duties
// move.
func Rank(vms []VM, duty string, n int) []VM {
	out := slices.Clone(vms)
	rank := func(vm VM) uint64 { return hash("duty", duty, vm.Addr) }
	slices.SortFunc(out, func(a, b VM) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Addr, b.Addr))
	})
	return out[:min(n, len(out))]
}
