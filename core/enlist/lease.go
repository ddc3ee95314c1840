package enlist

// Rounds is how many times a lease is due for renewal within its time: two calls may fail
// before it ends.
const Rounds = 3

// renewers is how many VMs renew a lease in each round, on average, where more share
// it. They draw for it, so that nothing is agreed and no VM's loss matters; that nobody
// renews in three rounds has a chance of e^-12, six in a million, and costs no more
// than entries which are written anew.
const renewers = 4

// RenewChance is the chance with which each of the VMs that share a lease renews it in a
// round.
func RenewChance(sharing int) float64 {
	return min(1, renewers/float64(max(1, sharing)))
}

// LeaseOf is the lease that an entry of a data centre is written under: the one that
// most of its entries have, the newest of several. It is 0 if there is none.
func LeaseOf(leases []uint64) uint64 {
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
