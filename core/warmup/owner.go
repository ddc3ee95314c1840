package warmup

import "time"

const (
	// FreshFor is the maximum age of this VM's copy of the store for it to act as owner.
	MaxCopyAge = 1800 * time.Millisecond
	// OwnerDelay is how long this VM's entry must have been in such a copy: longer than
	// FreshFor plus the time that an update takes between two VMs.
	OwnerDelay = 2500 * time.Millisecond
)

// Look records the age of this VM's copy of the store, and whether the VM's own entry is in
// it (listed).
func (ga *Limiter) ObserveStore(now, age time.Duration, listed bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.copyAsOf = now - age
	if !listed || age > MaxCopyAge || ga.eligible && now > ga.eligibleUntil {
		ga.eligible = false
	}
	if !listed || age > MaxCopyAge {
		return
	}
	if !ga.eligible {
		ga.eligible, ga.eligibleSince = true, now
	}
	ga.eligibleUntil = now - age + MaxCopyAge
}

// mayActAsOwner reports whether this VM may send to servers that it owns. The caller holds
// the lock.
func (ga *Limiter) mayActAsOwner(now time.Duration) bool {
	return ga.eligible && now-ga.eligibleSince >= OwnerDelay && now <= ga.eligibleUntil
}
