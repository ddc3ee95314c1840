package ramp

import "time"

const (
	// FreshFor is how old the copy of the store may be for this VM to speak for the fleet.
	FreshFor = 1800 * time.Millisecond
	// Handover is how long this VM must have stood in such a copy: longer than FreshFor and
	// the way of news between two VMs.
	Handover = 2500 * time.Millisecond
)

// Look takes in how old the copy of the store is, and whether this VM's own entry stands in it.
func (ga *Gate) Look(now, age time.Duration, listed bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.news = now - age
	if !listed || age > FreshFor || ga.stands && now > ga.until {
		ga.stands = false
	}
	if !listed || age > FreshFor {
		return
	}
	if !ga.stands {
		ga.stands, ga.since = true, now
	}
	ga.until = now - age + FreshFor
}

// standsAt tells whether this VM may send to servers that it owns. The caller holds the lock.
func (ga *Gate) standsAt(now time.Duration) bool {
	return ga.stands && now-ga.since >= Handover && now <= ga.until
}
