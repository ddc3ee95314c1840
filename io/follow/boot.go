package follow

import (
	"context"
	"time"

	"laburnumvane/core/mirror"
)

// boot asks seeds and the store until there is a copy. Reading from the store runs in parallel
// with the calls to VMs: on a small link it takes a quarter of a second, while a VM that has its
// copy by then sends it in twenty milliseconds.
func (fo *Follower) boot(ctx context.Context) {
	bo := mirror.NewBoot(mirror.BootConfig{
		Self:       fo.cfg.Self.Addr,
		Seeds:      fo.cfg.Seeds,
		FirstStart: fo.cfg.FirstStart,
		LinkMbps:   fo.cfg.LinkMbps,
		Rand:       fo.cfg.Rand,
		Now:        fo.cfg.Clock(),
	})
	reads, cancel := context.WithCancel(ctx)
	defer cancel()
	ca := newStoreCall(fo)
	for ctx.Err() == nil && !fo.known() {
		if as := fo.takeFreshCaller(); as.addr != "" {
			bo.AddPeer(fo.cfg.Clock(), as.addr)
		}
		if re, ok := ca.finished(); ok {
			fo.bootFromStore(ctx, bo, re)
			continue
		}
		switch st := bo.Next(fo.cfg.Clock()); st.From {
		case mirror.FromStore:
			ca.start(reads)
		case mirror.FromList:
			fo.bootFromList(ctx, bo, st)
		default:
			waiting, stop := ca.waitContext(ctx)
			fo.bootFromPeer(waiting, bo, st)
			stop()
		}
	}
}

// bootFromPeer calls a peer, or waits, as the step says.
func (fo *Follower) bootFromPeer(ctx context.Context, bo *mirror.Boot, st mirror.Step) {
	if st.From != mirror.FromPeer {
		sleep(ctx, st.Wait)
		return
	}
	if oc, err := fo.bootCallPeer(ctx, st); err != nil {
		bo.Failed(fo.cfg.Clock(), st, oc)
	}
}

// bootFromStore applies the result of reading the store.
func (fo *Follower) bootFromStore(ctx context.Context, bo *mirror.Boot, re storeResult) {
	st := mirror.Step{From: mirror.FromStore}
	if err := fo.applyStore(re); err != nil {
		bo.Failed(fo.cfg.Clock(), st, mirror.Outcome{Failed: true})
		if fo.cfg.OnBootFailed != nil {
			fo.cfg.OnBootFailed()
		}
		return
	}
	if bo.Announces(st) {
		fo.notifySeeds(ctx)
	}
}

// bootFromList reads the list of the other VMs from the store.
func (fo *Follower) bootFromList(ctx context.Context, bo *mirror.Boot, st mirror.Step) {
	bounded, cancel := context.WithTimeout(ctx, st.Wait)
	defer cancel()
	fo.noteStoreCall(0)
	members, err := fo.cfg.List(bounded)
	if err != nil {
		// The store may just be slow; the complete copy is read with a longer timeout.
		fo.cfg.Count("storeFailed")
		members = nil
	}
	readers, own := mirror.Readers(fo.cfg.Self, members)
	bo.SetReaders(fo.cfg.Clock(), readers, own)
}

func (fo *Follower) bootCallPeer(ctx context.Context, st mirror.Step) (mirror.Outcome, error) {
	bounded, cancel := context.WithTimeout(ctx, st.Wait)
	defer cancel()
	oc, err := fo.updateFromPeer(bounded, st.Addr)
	if err == nil {
		fo.firstSource = st.Addr
	}
	return oc, err
}

// firstSourceTime is how long a VM that knows no other one keeps following the VM that sent its
// first copy. When a fleet starts for the first time, its entries are in the store within half a
// second. Until then each VM would consider itself the only one and watch the store, with as
// many calls as there are VMs.
const firstSourceTime = 3 * time.Second

// followFirstSource follows the VM that sent the first copy until other VMs are known.
func (fo *Follower) followFirstSource(ctx context.Context) {
	until := fo.cfg.Clock() + firstSourceTime
	for fo.firstSource != "" && ctx.Err() == nil && fo.cfg.Clock() < until {
		fo.applyPeers(ctx)
		if len(fo.dataCentres) > 0 {
			return
		}
		if _, err := fo.updateFromPeer(ctx, fo.firstSource); err != nil {
			fo.cfg.OnSourceChange(mirror.Step{From: mirror.FromPeer, Addr: fo.firstSource}, fo.Age(), err)
			return
		}
	}
}

func (fo *Follower) asOf() uint64 {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.AsOf()
}

func (fo *Follower) known() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.Loaded()
}
