package edge

import (
	"context"
	"sync"
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/core/mirror"
	"laburnumvane/io/meter"
)

const (
	// silentCheckInterval is how often this VM checks whether the VMs that should follow it do.
	silentCheckInterval = 5 * time.Second
	// removeTimeout limits the call that removes entries.
	removeTimeout = time.Second
)

// checkSilent removes the entries of VMs of this data centre that have died. They would not
// expire, because other VMs renew the lease that they share.
func (st *state) checkSilent(ctx context.Context) {
	now := st.eg.clock()
	if followed := st.eg.follow.IsLeader(); followed != st.followed {
		st.followed, st.followedSince = followed, now
	}
	if now < st.nextSilentCheck {
		return
	}
	st.nextSilentCheck = now + silentCheckInterval
	silent := enlist.Silent(enlist.Observation{
		Now:        now,
		LeaseTime:  st.eg.set.LeaseTime,
		Followed:   st.followed,
		Since:      st.followedSince,
		StoreFresh: st.eg.follow.Age() < mirror.StaleAfter,
	}, st.localVMs())
	if len(silent) > 0 {
		st.eg.workers.submit(func() { st.eg.removeDead(ctx, silent) })
	}
}

// localVMs returns the other VMs of this data centre whose entries have not lapsed.
func (st *state) localVMs() []enlist.OtherVM {
	var others []enlist.OtherVM
	self := st.eg.set.Self
	for key, vr := range st.vms {
		if _, lapsed := st.lapsed[key]; lapsed || vr.vm.DataCentre != self.DataCentre || vr.vm.Addr == self.Addr {
			continue
		}
		others = append(others, enlist.OtherVM{
			Key: key, Addr: vr.vm.Addr, Revision: vr.revision, LastContact: st.eg.follow.LastSeen(vr.vm.Addr),
		})
	}
	return others
}

// removeDead probes VMs and removes the entries of those that do not respond. A VM that is
// alive after all sees that its entry was removed and has it written again.
func (eg *Edge) removeDead(ctx context.Context, silent []enlist.OtherVM) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var dead []mirror.Item
	for _, ot := range silent {
		wg.Go(func() {
			if eg.homeClient.Alive(ot.Addr, probeTimeout) {
				eg.follow.RecordAlive(ot.Addr)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			dead = append(dead, mirror.Item{Key: ot.Key, Revision: ot.Revision})
		})
	}
	wg.Wait()
	if len(dead) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	eg.meter.Count(meter.Platform, "removeDead")
	// If one of the entries was written since, or the call fails, none is removed until the
	// next check.
	err := eg.cfg.Store.Remove(bounded, dead)
	for _, it := range dead {
		eg.cfg.Log.Info().Str("key", it.Key).Uint64("revision", it.Revision).Err(err).Msg("removed the entry of a VM that did not respond")
	}
}
