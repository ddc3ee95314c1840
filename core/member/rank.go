package member

import (
	"cmp"
	"slices"
)

// successors returns the VMs after self on each ring of its data centre, without duplicates. VMs
// that are gone or were never heard from are not on the rings.
func (tb *table) successors(self *record) []*record {
	var out []*record
	for ring := range self.ringHashes {
		next := tb.successor(self, ring)
		if next != nil && !slices.Contains(out, next) {
			out = append(out, next)
		}
	}
	return out
}

// successor returns the next record after self on the ring, wrapping at the end; nil if there is no
// other VM.
func (tb *table) successor(self *record, ring int) *record {
	var best *record
	for _, rc := range tb.dataCentre(self.DataCentre).records {
		if rc == self || !rc.onRing() {
			continue
		}
		// Unsigned subtraction wraps and so gives the distance from self around the ring.
		if best == nil || rc.ringHashes[ring]-self.ringHashes[ring] < best.ringHashes[ring]-self.ringHashes[ring] {
			best = rc
		}
	}
	return best
}

// onRing reports whether the VM has a place on the rings and so is monitored.
func (rc *record) onRing() bool {
	st := rc.State()
	return st != StateGone && st != StateCandidate
}

// relayCandidates orders the VMs of data centre from by their rank for relaying to data centre to.
// Live VMs come first. The others follow, because a data centre whose VMs were all replaced during
// a partition can only be reached through the VM list.
func (tb *table) relayCandidates(from, to string) []*record {
	type candidate struct {
		rc   *record
		live bool
		rank uint64
	}
	var candidates []candidate
	for _, rc := range tb.dataCentre(from).records {
		st := rc.State()
		if st != StateGone {
			candidates = append(candidates, candidate{rc: rc, live: st == StateLive, rank: hash("relay", from, to, rc.Addr)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.live != b.live {
			if a.live {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.rc.Addr, b.rc.Addr))
	})
	out := make([]*record, len(candidates))
	for i, ca := range candidates {
		out[i] = ca.rc
	}
	return out
}

// Rank returns the n VMs that rank first for a duty, highest first, by rendezvous hashing. All
// callers with the same VMs get the same result, and when a VM leaves only its own duties move.
func Rank(vms []VM, duty string, n int) []VM {
	out := slices.Clone(vms)
	rank := func(vm VM) uint64 { return hash("duty", duty, vm.Addr) }
	slices.SortFunc(out, func(a, b VM) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Addr, b.Addr))
	})
	return out[:min(n, len(out))]
}
