package follow

import (
	"time"

	"laburnumvane/core/rank"
)

// Leader returns the address of the VM of this data centre that this VM follows; empty if there
// is none.
func (fo *Follower) Leader() string {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.leader
}

// IsLeader reports whether this VM gets its updates from the store or from another data centre, so
// that the other VMs of its own data centre follow it.
func (fo *Follower) IsLeader() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.Loaded() && fo.leader == ""
}

// RecordAlive records a sign of life of another VM.
func (fo *Follower) RecordAlive(addr string) {
	now := fo.cfg.Clock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.lastSeen[addr] = now
}

// LastSeen returns when another VM last called this one or gave another sign of life; 0 if it never
// did.
func (fo *Follower) LastSeen(addr string) time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.lastSeen[addr]
}

// pruneLastSeen removes VMs that are no longer listed. The caller holds the lock.
func (fo *Follower) pruneLastSeen(vms []rank.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Addr] = true
	}
	for addr := range fo.lastSeen {
		if !listed[addr] {
			delete(fo.lastSeen, addr)
		}
	}
}
