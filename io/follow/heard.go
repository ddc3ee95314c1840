package follow

import (
	"time"

	"laburnumvane/core/rank"
)

// Leader is the VM of this data centre that this one follows; empty if there is none.
func (fo *Follower) Leader() string {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.leader
}

// Leads tells whether this VM has its news from the store or another data centre: then
// the others of its own follow it.
func (fo *Follower) Leads() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.Known() && fo.leader == ""
}

// Note takes in a sign of life of another VM.
func (fo *Follower) Note(addr string) {
	now := fo.cfg.Clock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.heard[addr] = now
}

// Heard is when another VM asked this one last, or gave a sign of life; 0 if it never
// did.
func (fo *Follower) Heard(addr string) time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.heard[addr]
}

// keepHeard forgets those that are not listed any more. The caller holds the lock.
func (fo *Follower) keepHeard(vms []rank.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Addr] = true
	}
	for addr := range fo.heard {
		if !listed[addr] {
			delete(fo.heard, addr)
		}
	}
}
