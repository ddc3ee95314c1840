package edge

import (
	"context"
	"sync"
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/core/feed"
	"laburnumvane/io/meter"
)

const (
	// silentEvery is how often it is looked whether VMs that should ask this one do.
	silentEvery = 5 * time.Second
	// removeTime bounds the call that takes entries away.
	removeTime = time.Second
)

// judgeSilent takes the entries of VMs of this data centre away that died: they would
// stay, since their lease is renewed by others.
func (st *state) judgeSilent(ctx context.Context) {
	now := st.eg.clock()
	if leads := st.eg.follow.Leads(); leads != st.leads {
		st.leads, st.leadSince = leads, now
	}
	if now < st.silentAt {
		return
	}
	st.silentAt = now + silentEvery
	silent := enlist.Silent(enlist.Sight{
		Now:       now,
		LeaseTime: st.eg.set.LeaseTime,
		Leads:     st.leads,
		Since:     st.leadSince,
		Fresh:     st.eg.follow.Age() < feed.StaleAfter,
	}, st.neighbours())
	if len(silent) > 0 {
		st.eg.workers.run(func() { st.eg.removeDead(ctx, silent) })
	}
}

// neighbours are the other VMs of the data centre whose entries stand.
func (st *state) neighbours() []enlist.Other {
	var others []enlist.Other
	self := st.eg.set.Self
	for key, li := range st.vms {
		if _, gone := st.gone[key]; gone || li.vm.DataCentre != self.DataCentre || li.vm.Addr == self.Addr {
			continue
		}
		others = append(others, enlist.Other{
			Key: key, Addr: li.vm.Addr, Revision: li.revision, Heard: st.eg.follow.Heard(li.vm.Addr),
		})
	}
	return others
}

// removeDead asks VMs for a sign of life and takes the entries of those away that give
// none. One that lives all the same sees its entry go, and has it written again.
func (eg *Edge) removeDead(ctx context.Context, silent []enlist.Other) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var dead []feed.Item
	for _, ot := range silent {
		wg.Go(func() {
			if eg.homes.Lives(ot.Addr, probeTime) {
				eg.follow.Note(ot.Addr)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			dead = append(dead, feed.Item{Key: ot.Key, Revision: ot.Revision})
		})
	}
	wg.Wait()
	if len(dead) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, removeTime)
	defer cancel()
	eg.meter.Count(meter.Platform, "removeDead")
	// If one of them was written anew meanwhile, or the call fails, all stay until the
	// next look.
	err := eg.cfg.Store.Remove(bounded, dead)
	for _, it := range dead {
		eg.cfg.Log.Info().Str("key", it.Key).Uint64("revision", it.Revision).Err(err).Msg("entry of a VM without a sign of life taken away")
	}
}
