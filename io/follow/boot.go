package follow

import (
	"context"
	"sync"
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
	rd := &storeRead{fo: fo, done: make(chan storeResult, 1)}
	for ctx.Err() == nil && !fo.known() {
		if as := fo.takeFreshCaller(); as.addr != "" {
			bo.AddPeer(fo.cfg.Clock(), as.addr)
		}
		if re, ok := rd.finished(); ok {
			fo.bootFromStore(ctx, bo, re)
			continue
		}
		switch st := bo.Next(fo.cfg.Clock()); st.From {
		case mirror.FromStore:
			rd.start(reads)
		case mirror.FromList:
			fo.bootFromList(ctx, bo, st)
		default:
			waiting, stop := rd.waitContext(ctx)
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
	if err := fo.applyStore(re.update, re.err); err != nil {
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
	fo.noteStoreCall()
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
		fo.applyPeers()
		if len(fo.dataCentres) > 0 {
			return
		}
		if _, err := fo.updateFromPeer(ctx, fo.firstSource); err != nil {
			fo.cfg.OnSourceChange(mirror.Step{From: mirror.FromPeer, Addr: fo.firstSource}, fo.Age(), err)
			return
		}
	}
}

// storeRead is a call to the store that runs while other VMs are asked.
type storeRead struct {
	fo *Follower
	// running is set while a call is in progress; done gets its result.
	running bool
	done    chan storeResult

	mu sync.Mutex
	// interrupt ends a wait in the meantime; nil if there is none.
	interrupt context.CancelFunc
}

// storeResult is the result of a call to the store.
type storeResult struct {
	update mirror.Update
	err    error
}

// start calls the store unless a call is in progress.
func (rd *storeRead) start(ctx context.Context) {
	if rd.running {
		return
	}
	rd.running = true
	rd.fo.noteStoreCall()
	rd.fo.calls.Go(func() {
		up, err := rd.fo.callStore(ctx)
		rd.mu.Lock()
		defer rd.mu.Unlock()
		rd.done <- storeResult{update: up, err: err}
		if rd.interrupt != nil {
			rd.interrupt()
		}
	})
}

// waitContext returns a context that ends when the store has answered. The caller must call
// stop.
func (rd *storeRead) waitContext(ctx context.Context) (waiting context.Context, stop func()) {
	waiting, cancel := context.WithCancel(ctx)
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if len(rd.done) > 0 {
		cancel()
	}
	rd.interrupt = cancel
	return waiting, func() {
		rd.mu.Lock()
		defer rd.mu.Unlock()
		rd.interrupt = nil
		cancel()
	}
}

// finished returns the result of a call that has ended, if one has.
func (rd *storeRead) finished() (storeResult, bool) {
	select {
	case re := <-rd.done:
		rd.running = false
		return re, true
	default:
		return storeResult{}, false
	}
}

// notifySeedTimeout limits the call that notifies a seed. After it the other VMs have a copy
// from elsewhere.
const notifySeedTimeout = 200 * time.Millisecond

// notifySeeds tells the seeds that this VM has a copy. It does not wait for them, because some
// may have lost power for good.
func (fo *Follower) notifySeeds(ctx context.Context) {
	after := fo.asOf()
	for _, addr := range fo.cfg.Seeds {
		fo.calls.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, notifySeedTimeout)
			defer cancel()
			fo.cfg.Count("tell")
			// A seed that has not started yet learns of it from others.
			if _, err := fo.callPeer(bounded, addr, after, 0); err != nil {
				fo.cfg.Count("tellFailed")
			}
		})
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
