package enlist

// RenewRounds is the number of renewal rounds within the time of a lease: two renewals may fail
// before the lease expires.
const RenewRounds = 3

// renewers is the average number of VMs that renew a lease in each round, if more VMs than that
// share it. They draw lots, so that no agreement is needed and the loss of one VM does not
// matter. The chance that no VM renews in three rounds is e^-12, six in a million; then the
// entries are written again, which costs no more.
const renewers = 4

// RenewChance returns the probability with which each of the VMs that share a lease renews it
// in a round.
func RenewChance(sharing int) float64 {
	return min(1, renewers/float64(max(1, sharing)))
}

// CommonLease returns the lease under which a new entry of a data centre is written, given the
// leases of the existing ones: the most frequent lease, or the newest of equally frequent ones.
// It returns 0 if there is none.
func CommonLease(leases []uint64) uint64 {
	count := make(map[uint64]int, 1)
	best := uint64(0)
	for _, le := range leases {
		if le == 0 {
			continue
		}
		count[le]++
	}
	for le, n := range count {
		if n > count[best] || n == count[best] && le > best {
			best = le
		}
	}
	return best
}
