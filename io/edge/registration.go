package edge

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"laburnumvane/core/enlist"
	"laburnumvane/core/mirror"
	"laburnumvane/core/retry"
)

const (
	// renewTimeout limits the renewal of a lease. registerTimeout limits the writing of the
	// entry, which waits for other entries to be written in the same transaction.
	renewTimeout    = time.Second
	registerTimeout = 3 * time.Second
	// minRegisterWait is the wait after the first failed call; it doubles up to
	// maxRegisterWait. A random wait of up to the same length is added, so that a fleet whose
	// entries were lost together does not write them at the same moment. Each call to the store
	// is charged for, even a refused one, and no request waits for an entry: other VMs count a
	// VM for vmForgetTime after its entry lapsed, which is longer than the longest wait.
	minRegisterWait = time.Second
	maxRegisterWait = 8 * time.Second
	// maxCopyWait is how long a VM waits for its first copy of the store before it has an entry
	// written. The entry of its previous process may still exist, and the VMs that send the
	// copy can write an entry for it. A copy takes a few tenths of a second.
	maxCopyWait = time.Second
)

// registration keeps this VM's entry in the store, by which other VMs find it.
//
// A VM that restarts after a crash finds the entry of its previous process and keeps using it.
// After a power loss of a whole fleet, new entries would otherwise be most of the calls of its
// VMs to the store.
type registration struct {
	eg *Edge
	// lease is the lease of the entry; 0 if there is none, as far as is known.
	lease uint64
	// mayExist is set once an entry may have been written, by this process or a previous one.
	mayExist bool
	// writeSelf is set while this VM should write the entry itself, because the VM that it
	// asked could not reach the store.
	writeSelf bool
	lost      chan struct{}
	// storedLease is the lease that this VM's entry has in the copy of the store. leaseSharers
	// is the number of entries there with that lease.
	storedLease  atomic.Uint64
	leaseSharers atomic.Int64
	// copyRead is closed once the first copy of the store was searched for the entry.
	copyRead chan struct{}
	// copyNoted is set at the same time; only the control goroutine uses it.
	copyNoted bool
	// cancel ends run, which then closes stopped.
	cancel  context.CancelFunc
	stopped chan struct{}
}

// newRegistration creates the registration; cancel ends the context that run gets.
func newRegistration(eg *Edge, cancel context.CancelFunc) *registration {
	return &registration{
		eg:       eg,
		lost:     make(chan struct{}, 1),
		copyRead: make(chan struct{}),
		cancel:   cancel,
		stopped:  make(chan struct{}),
	}
}

// noteEntry records an entry of the store under this VM's key.
func (rn *registration) noteEntry(value []byte, lease uint64) {
	if bytes.Equal(value, rn.entry().Value) {
		rn.storedLease.Store(lease)
	}
}

// noteCopy records that a copy of the store has been searched for this VM's entry.
func (rn *registration) noteCopy() {
	if !rn.copyNoted {
		rn.copyNoted = true
		close(rn.copyRead)
	}
}

// noteRemoved records that the entry was removed from the store.
func (rn *registration) noteRemoved() {
	rn.storedLease.Store(0)
	select {
	case rn.lost <- struct{}{}:
	default:
	}
}

// entry returns the entry of this VM.
func (rn *registration) entry() enlist.Entry {
	set := rn.eg.set
	key, value := rn.eg.cfg.Decoder.VMEntry(set.Name, set.Self, set.Capacity)
	return enlist.Entry{Key: key, Value: value, DataCentre: set.Self.DataCentre}
}

// run has the entry written and keeps it until its context ends.
func (rn *registration) run(ctx context.Context) {
	defer close(rn.stopped)
	rn.awaitCopy(ctx)
	fails := 0
	for ctx.Err() == nil {
		wait := rn.eg.set.LeaseTime / enlist.RenewRounds
		if err := rn.refresh(ctx); err != nil {
			fails++
			wait = registerRetryWait(fails)
			rn.eg.cfg.Log.Warn().Err(err).Int("fails", fails).Int64("waitMs", wait.Milliseconds()).
				Msg("writing or renewing this VM's entry failed")
		} else {
			fails = 0
		}
		tm := time.NewTimer(wait)
		select {
		case <-tm.C:
		case <-rn.lost:
			tm.Stop()
			// The entry is removed with its lease, and the store would refuse to write under
			// that lease.
			rn.lease = 0
			sleep(ctx, time.Duration(rand.Int64N(int64(minRegisterWait))))
		case <-ctx.Done():
			tm.Stop()
		}
	}
}

// registerRetryWait returns the wait after the given number of consecutive failures.
func registerRetryWait(fails int) time.Duration {
	bo := retry.Backoff{Initial: minRegisterWait, Max: maxRegisterWait, Jitter: 1}
	return bo.Wait(fails, rand.Float64())
}

func (rn *registration) awaitCopy(ctx context.Context) {
	tm := time.NewTimer(maxCopyWait)
	defer tm.Stop()
	select {
	case <-rn.copyRead:
	case <-tm.C:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}

// refresh writes the entry, or renews its lease if it is this VM's turn.
func (rn *registration) refresh(ctx context.Context) error {
	if stored := rn.storedLease.Load(); stored != 0 && stored != rn.lease {
		rn.eg.cfg.Log.Info().Uint64("lease", stored).Bool("former", !rn.mayExist).Msg("entry found in the store, taken over")
		rn.lease, rn.mayExist = stored, true
	}
	if rn.lease != 0 {
		missing, err := rn.renew(ctx)
		if !missing {
			return err
		}
		rn.storedLease.CompareAndSwap(rn.lease, 0)
		rn.lease = 0
	}
	return rn.register(ctx)
}

// renew renews the lease with a probability that falls with the number of entries that share
// it, since their VMs do the same. missing is set if the lease has ended.
func (rn *registration) renew(ctx context.Context) (missing bool, err error) {
	if rand.Float64() >= enlist.RenewChance(int(rn.leaseSharers.Load())) {
		return false, nil
	}
	bounded, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	store := rn.eg.cfg.Store
	err = store.Keep(bounded, rn.lease)
	return err != nil && store.IsLeaseMissing(err), err
}

// register has the entry written, by another VM that writes the entries of several VMs, or by
// this VM.
func (rn *registration) register(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	rn.mayExist = true
	en := rn.entry()
	for _, addr := range rn.helpers() {
		lease, err := rn.eg.follow.RequestEnlist(bounded, addr, en)
		if err == nil {
			rn.lease = lease
			return nil
		}
		var te twirp.Error
		if errors.As(err, &te) && te.Code() == twirp.Unavailable {
			// That VM is alive but cannot reach the store. The store may answer this VM, but
			// most likely it answers no VM.
			rn.writeSelf = true
			return err
		}
		rn.eg.cfg.Log.Info().Str("vm", addr).Err(err).Msg("another VM could not write this VM's entry")
	}
	rn.writeSelf = false
	lease, err := rn.eg.registrar.register(bounded, en)
	if err != nil {
		return err
	}
	rn.lease = lease
	return nil
}

// helpers returns the VMs to ask to write this VM's entry, in this order: the leader of its
// data centre, which the other VMs there ask too; or, while no other VM is known, the seeds, up
// to this VM if it is one of them, so that all VMs ask the same one.
func (rn *registration) helpers() []string {
	if rn.writeSelf {
		return nil
	}
	if leader := rn.eg.follow.Leader(); leader != "" {
		return []string{leader}
	}
	if rn.eg.view.Load().FleetSize() > 1 {
		return nil
	}
	seeds := rn.eg.set.Seeds
	if own := slices.Index(seeds, rn.eg.set.Self.Addr); own >= 0 {
		return seeds[:own]
	}
	return seeds
}

// remove deletes the entry, after run has stopped: otherwise a refresh could write it again,
// and the VM would stay registered after it has gone.
func (rn *registration) remove(ctx context.Context) {
	rn.cancel()
	select {
	case <-rn.stopped:
	case <-ctx.Done():
		rn.eg.cfg.Log.Warn().Err(ctx.Err()).Msg("this VM's entry not removed: a call to the store is still running")
		return
	}
	if !rn.mayExist {
		return
	}
	if err := rn.eg.cfg.Store.Remove(ctx, []mirror.Item{{Key: rn.entry().Key}}); err != nil {
		rn.eg.cfg.Log.Warn().Err(err).Msg("this VM's entry not removed")
	}
}
