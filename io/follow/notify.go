package follow

import (
	"context"
	"slices"
	"time"

	"laburnumvane/core/mirror"
)

const (
	// notifyTimeout limits the call that tells a VM that this one has a copy. After it the other VMs
	// have one from elsewhere.
	notifyTimeout = 200 * time.Millisecond
	// maxStaleCallers limits the VMs that are notified when this VM's copy is current again. Each
	// of them notifies as many others.
	maxStaleCallers = 8
)

// notifySeeds tells the seeds that this VM has a copy. It does not wait for them, because some
// may have lost power for good.
func (fo *Follower) notifySeeds(ctx context.Context) {
	// A seed that has not started yet learns of it from others.
	fo.notify(ctx, fo.cfg.Seeds)
}

// notify tells VMs how old this VM's copy is, without waiting for them.
func (fo *Follower) notify(ctx context.Context, addrs []string) {
	after := fo.asOf()
	for _, addr := range addrs {
		fo.calls.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			fo.cfg.Count("tell")
			if _, err := fo.callPeer(bounded, addr, after, 0); err != nil {
				fo.cfg.Count("tellFailed")
			}
		})
	}
}

// noteStaleCaller records a VM that is sent an answer with stale data. It does not ask this one
// again for a second or more, so it is told when the copy is current again: without that, an update
// that the store sent to two of six VMs took up to 1.9 s to reach the others. The caller holds the
// lock.
func (fo *Follower) noteStaleCaller(addr string, age time.Duration) {
	if addr == "" || age <= mirror.StaleAfter || slices.Contains(fo.staleCallers, addr) {
		return
	}
	if len(fo.staleCallers) >= maxStaleCallers {
		fo.staleCallers = slices.Delete(fo.staleCallers, 0, 1)
	}
	fo.staleCallers = append(fo.staleCallers, addr)
}

// notifyStaleCallers tells the VMs that got stale data from this one that its copy is current again.
func (fo *Follower) notifyStaleCallers(ctx context.Context) {
	fo.mu.Lock()
	var callers []string
	if fo.age(fo.cfg.Clock()) <= mirror.StaleAfter {
		callers, fo.staleCallers = fo.staleCallers, nil
	}
	fo.mu.Unlock()
	if len(callers) > 0 {
		fo.notify(ctx, callers)
	}
}
