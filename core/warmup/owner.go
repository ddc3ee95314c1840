package warmup

import "time"

const (
	// MaxCopyAge is the maximum age of this VM's copy of the store for it to act as owner.
	MaxCopyAge = 1800 * time.Millisecond
	// OwnerDelay is how long this VM's entry must have been in such a copy: longer than
	// MaxCopyAge plus the time that an update takes between two VMs.
	OwnerDelay = 2500 * time.Millisecond
)

// ObserveStore records the age of this VM's copy of the store, and whether the VM's own entry is in
// it (listed).
func (li *Limiter) ObserveStore(now, age time.Duration, listed bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.copyAsOf = now - age
	if !listed || age > MaxCopyAge || li.eligible && now > li.eligibleUntil {
		li.eligible = false
	}
	if !listed || age > MaxCopyAge {
		return
	}
	if !li.eligible {
		li.eligible, li.eligibleSince = true, now
	}
	li.eligibleUntil = now - age + MaxCopyAge
}

// mayActAsOwner reports whether this VM may send to servers that it owns. The caller holds
// the lock.
func (li *Limiter) mayActAsOwner(now time.Duration) bool {
	return li.eligible && now-li.eligibleSince >= OwnerDelay && now <= li.eligibleUntil
}
