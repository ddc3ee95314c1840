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
	"laburnumvane/core/feed"
	"laburnumvane/core/retry"
)

const (
	// renewTime bounds the renewal of a lease, and enterTime the writing of the entry,
	// which waits for others to be written with it.
	renewTime = time.Second
	enterTime = 3 * time.Second
	// enlistRetry is the wait after a call that failed, and doubles up to enlistMost;
	// as much again is drawn, so that a fleet whose entries were lost together does
	// not write them at the same moment. Each call is paid for, also one that is
	// refused, and nobody waits for an entry: others go on counting a VM for vmForget,
	// which is longer than the longest wait.
	enlistRetry = time.Second
	enlistMost  = 8 * time.Second
	// copyTime is how long a VM waits for its first copy of the store before it has an
	// entry written: the entry of its former process may still be there, and those who
	// gave the copy can write it. A copy takes some tenths of a second.
	copyTime = time.Second
)

// listing keeps this VM's entry in the store, by which the others find it.
//
// A VM that starts again after a crash finds the entry that its former process wrote,
// and goes on with that. After a power loss of a fleet new entries would be most of
// what its VMs ask of the store.
type listing struct {
	eg *Edge
	// lease is what the entry goes with; 0 if there is none, as far as is known.
	lease uint64
	// tried is set once an entry may have been written, by this process or a former one.
	tried bool
	// alone is set while this VM is to write the entry itself, for the store did not serve
	// the one that was asked to.
	alone bool
	lost  chan struct{}
	// seen is the lease that this VM's entry has in the copy of the store, and sharing
	// is how many entries there have that lease.
	seen    atomic.Uint64
	sharing atomic.Int64
	// copied is closed once the first copy of the store was looked through.
	copied chan struct{}
	// looked is set then; only the control goroutine uses it.
	looked bool
	// halt ends run, and run closes ended.
	halt  context.CancelFunc
	ended chan struct{}
}

// newListing makes it; halt ends the context that run gets.
func newListing(eg *Edge, halt context.CancelFunc) *listing {
	return &listing{
		eg:     eg,
		lost:   make(chan struct{}, 1),
		copied: make(chan struct{}),
		halt:   halt,
		ended:  make(chan struct{}),
	}
}

// found tells of an entry under this VM's key.
func (ls *listing) found(value []byte, lease uint64) {
	if bytes.Equal(value, ls.entry().Value) {
		ls.seen.Store(lease)
	}
}

// lookedThrough tells that a copy of the store was looked through for one.
func (ls *listing) lookedThrough() {
	if !ls.looked {
		ls.looked = true
		close(ls.copied)
	}
}

// again tells that the entry was seen to go.
func (ls *listing) again() {
	ls.seen.Store(0)
	select {
	case ls.lost <- struct{}{}:
	default:
	}
}

// entry is this VM's own.
func (ls *listing) entry() enlist.Entry {
	set := ls.eg.set
	key, value := ls.eg.cfg.Decoder.VMEntry(set.Name, set.Self, set.Capacity)
	return enlist.Entry{Key: key, Value: value, DataCentre: set.Self.DataCentre}
}

// run has the entry written and keeps it until its context ends.
func (ls *listing) run(ctx context.Context) {
	defer close(ls.ended)
	ls.awaitCopy(ctx)
	fails := 0
	for ctx.Err() == nil {
		wait := ls.eg.set.LeaseTime / enlist.Rounds
		if err := ls.round(ctx); err != nil {
			fails++
			wait = enlistPause(fails)
			ls.eg.cfg.Log.Warn().Err(err).Int("fails", fails).Int64("waitMs", wait.Milliseconds()).
				Msg("this VM's entry could not be written or kept")
		} else {
			fails = 0
		}
		tm := time.NewTimer(wait)
		select {
		case <-tm.C:
		case <-ls.lost:
			tm.Stop()
			// An entry goes with its lease: to write under that one would be refused.
			ls.lease = 0
			pause(ctx, time.Duration(rand.Int64N(int64(enlistRetry))))
		case <-ctx.Done():
			tm.Stop()
		}
	}
}

// enlistPause is the wait after so many calls that failed.
func enlistPause(fails int) time.Duration {
	bo := retry.Backoff{First: enlistRetry, Most: enlistMost, Jitter: 1}
	return bo.Wait(fails, rand.Float64())
}

func (ls *listing) awaitCopy(ctx context.Context) {
	tm := time.NewTimer(copyTime)
	defer tm.Stop()
	select {
	case <-ls.copied:
	case <-tm.C:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, wait time.Duration) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}

// round writes the entry, or renews its lease when that falls to this VM.
func (ls *listing) round(ctx context.Context) error {
	if seen := ls.seen.Load(); seen != 0 && seen != ls.lease {
		ls.eg.cfg.Log.Info().Uint64("lease", seen).Bool("former", !ls.tried).Msg("entry found in the store, taken over")
		ls.lease, ls.tried = seen, true
	}
	if ls.lease != 0 {
		missing, err := ls.renew(ctx)
		if !missing {
			return err
		}
		ls.seen.CompareAndSwap(ls.lease, 0)
		ls.lease = 0
	}
	return ls.enter(ctx)
}

// renew renews the lease, if the draw says so; missing if it has ended.
func (ls *listing) renew(ctx context.Context) (missing bool, err error) {
	if rand.Float64() >= enlist.RenewChance(int(ls.sharing.Load())) {
		return false, nil
	}
	bounded, cancel := context.WithTimeout(ctx, renewTime)
	defer cancel()
	store := ls.eg.cfg.Store
	err = store.Keep(bounded, ls.lease)
	return err != nil && store.Missing(err), err
}

// enter has the entry written: by another VM that writes those of several, or here.
func (ls *listing) enter(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, enterTime)
	defer cancel()
	ls.tried = true
	en := ls.entry()
	for _, addr := range ls.helpers() {
		lease, err := ls.eg.follow.AskEnlist(bounded, addr, en)
		if err == nil {
			ls.lease = lease
			return nil
		}
		var te twirp.Error
		if errors.As(err, &te) && te.Code() == twirp.Unavailable {
			// It is there and the store does not serve it: it may serve this VM, and
			// most likely it serves nobody.
			ls.alone = true
			return err
		}
		ls.eg.cfg.Log.Info().Str("vm", addr).Err(err).Msg("no help with this VM's entry")
	}
	ls.alone = false
	lease, err := ls.eg.registrar.enter(bounded, en)
	if err != nil {
		return err
	}
	ls.lease = lease
	return nil
}

// helpers are the VMs to be asked to write this VM's entry, in this order: the one of its
// data centre that it follows, which hears of the others there too; or the seeds, for
// all of them, while nobody else is known.
func (ls *listing) helpers() []string {
	if ls.alone {
		return nil
	}
	if leader := ls.eg.follow.Leader(); leader != "" {
		return []string{leader}
	}
	if ls.eg.view.Load().FleetSize() > 1 {
		return nil
	}
	seeds := ls.eg.set.Seeds
	if own := slices.Index(seeds, ls.eg.set.Self.Addr); own >= 0 {
		return seeds[:own]
	}
	return seeds
}

// end takes the entry away, and only when nothing writes it any more: a round would
// have it written again, and the VM would stay listed after it is gone.
func (ls *listing) end(ctx context.Context) {
	ls.halt()
	select {
	case <-ls.ended:
	case <-ctx.Done():
		ls.eg.cfg.Log.Warn().Err(ctx.Err()).Msg("this VM's entry is left to others: a call to the store goes on")
		return
	}
	if !ls.tried {
		return
	}
	if err := ls.eg.cfg.Store.Remove(ctx, []feed.Item{{Key: ls.entry().Key}}); err != nil {
		ls.eg.cfg.Log.Warn().Err(err).Msg("this VM's entry is left to others")
	}
}
