package mirror

import (
	"time"

	"laburnumvane/core/rank"
	"laburnumvane/core/retry"
)

// Delays of a search for fresh data, when the preferred sources have none.
const (
	// minSearchWait is the wait before the next VM is asked after one had stale data. It doubles up to
	// searchWaitLocal within the data centre and to searchWaitRemote beyond it, where
	// traffic is paid for. The search ends once a VM has fresh data. If the store serves
	// some VMs, fresh data still spreads from them within a second or two. If it serves
	// none, a search without these waits made each of 78 VMs send 58 calls a second.
	minSearchWait    = 5 * time.Millisecond
	searchWaitLocal  = 80 * time.Millisecond
	searchWaitRemote = 400 * time.Millisecond
)

// Suggest records that a VM which asked this one has data of the given age. If that is fresh, the
// VM becomes a candidate source: the store may serve it while it refuses this VM.
func (se *Selector) Suggest(addr string, age time.Duration) {
	if age <= StaleAfter {
		se.suggested = addr
	}
}

// takeSuggested returns the suggested VM and clears it.
func (se *Selector) takeSuggested() string {
	addr := se.suggested
	se.suggested = ""
	return addr
}

// searchStep asks a VM of another data centre, or one of this data centre with a lower rank.
func (se *Selector) searchStep(now time.Duration) Step {
	if now >= se.remoteAt {
		if vm, ok := se.firstAvailable(now, se.remote); ok {
			return Step{From: FromPeer, Addr: vm.Addr}
		}
	}
	if now >= se.localAt {
		if vm, ok := se.firstAvailable(now, se.local); ok {
			return Step{From: FromPeer, Addr: vm.Addr}
		}
	}
	if len(se.remote) == 0 && len(se.local) == 1 && now >= se.remoteAt {
		if vm, ok := se.firstAvailable(now, se.unlisted); ok {
			return Step{From: FromPeer, Addr: vm.Addr}
		}
	}
	return Step{From: FromNone, Wait: se.searchWait(now)}
}

// SetUnlisted sets VMs that are asked as long as no other VM is listed. When a fleet starts for the
// first time, the store may fail before it has returned the entries of the VMs.
func (se *Selector) SetUnlisted(addrs []string) {
	se.unlisted = se.unlisted[:0]
	for _, addr := range addrs {
		se.unlisted = append(se.unlisted, rank.VM{Addr: addr})
	}
}

// firstAvailable returns the first VM that is not this one and not skipped.
func (se *Selector) firstAvailable(now time.Duration, vms []rank.VM) (rank.VM, bool) {
	for _, vm := range vms {
		if vm.Addr != se.cfg.Self.Addr && !se.skipped(now, vm.Addr) {
			return vm, true
		}
	}
	return rank.VM{}, false
}

// searchWait is the time until the search may continue.
func (se *Selector) searchWait(now time.Duration) time.Duration {
	wait := idleWait
	for _, at := range [2]time.Duration{se.localAt, se.remoteAt} {
		if at > now {
			wait = min(wait, at-now)
		}
	}
	return wait
}

// noteStale delays the next call after a VM had stale data.
func (se *Selector) noteStale(now time.Duration) {
	se.staleInRow++
	draw := se.cfg.Rand.Float64()
	near := retry.Backoff{Initial: minSearchWait, Max: searchWaitLocal, Jitter: jitter}
	far := retry.Backoff{Initial: minSearchWait, Max: searchWaitRemote, Jitter: jitter}
	se.localAt = now + near.Wait(se.staleInRow, draw)
	se.remoteAt = now + far.Wait(se.staleInRow, draw)
}
