package edge

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"laburnumvane/core/retry"
)

const (
	// keepShare is how many times a lease is renewed within its time.
	keepShare = 3
	// enlistTime bounds a call.
	enlistTime = time.Second
	// enlistRetry is the wait after a call that failed, and doubles up to enlistMost;
	// as much again is drawn, so that a fleet whose entries were lost together does
	// not write them at the same moment. Each call is paid for, also one that is
	// refused, and nobody waits for an entry: others go on counting a VM for vmForget,
	// which is longer than the longest wait.
	enlistRetry = time.Second
	enlistMost  = 8 * time.Second
)

// adoptTime is how long a VM waits for its first copy of the store before it writes an
// entry anew. Nobody waits for the entry; a copy takes some tenths of a second.
const adoptTime = time.Second

// enlistPause is the wait after so many calls that failed.
func enlistPause(fails int) time.Duration {
	bo := retry.Backoff{First: enlistRetry, Most: enlistMost, Jitter: 1}
	return bo.Wait(fails, rand.Float64())
}

// enlist keeps this VM's entry in the store, by which the others find it.
//
// A VM that starts again after a crash finds the entry that its former process wrote,
// and goes on renewing the lease of that: a renewal is a tenth of the price of a call,
// and a new lease with a new entry is two. After a power loss of a fleet that is most
// of what its VMs ask of the store.
type enlist struct {
	eg    *Edge
	lease uint64
	// listed is set while the entry is thought to be there.
	listed bool
	lost   chan struct{}
	// former has the lease of an entry that says the same as this VM's own, and copied
	// is closed once the first copy of the store was looked through for one.
	former chan uint64
	copied chan struct{}
	// looked is set then; only the control goroutine uses it.
	looked bool
	// halt ends run, and run closes ended.
	halt  context.CancelFunc
	ended chan struct{}
}

// newEnlist makes it; halt ends the context that run gets.
func newEnlist(eg *Edge, halt context.CancelFunc) *enlist {
	return &enlist{
		eg:     eg,
		lost:   make(chan struct{}, 1),
		former: make(chan uint64, 1),
		copied: make(chan struct{}),
		halt:   halt,
		ended:  make(chan struct{}),
	}
}

// found tells of an entry under this VM's key.
func (el *enlist) found(value []byte, lease uint64) {
	if _, own := el.entry(); lease == 0 || !bytes.Equal(value, own) {
		return
	}
	select {
	case el.former <- lease:
	default:
	}
}

// lookedThrough tells that a copy of the store was looked through for one.
func (el *enlist) lookedThrough() {
	if !el.looked {
		el.looked = true
		close(el.copied)
	}
}

// again tells that the entry was seen to go.
func (el *enlist) again() {
	select {
	case el.lost <- struct{}{}:
	default:
	}
}

// entry is this VM's own.
func (el *enlist) entry() (key string, value []byte) {
	return el.eg.cfg.Decoder.VMEntry(el.eg.set.Name, el.eg.set.Self, el.eg.set.Capacity)
}

// run writes the entry and keeps it until its context ends.
func (el *enlist) run(ctx context.Context) {
	defer close(el.ended)
	if !el.eg.set.FirstStart {
		el.adopt(ctx)
	}
	fails := 0
	for ctx.Err() == nil {
		wait := el.eg.set.LeaseTime / keepShare
		if err := el.round(ctx); err != nil {
			fails++
			wait = enlistPause(fails)
			el.eg.cfg.Log.Warn().Err(err).Int("fails", fails).Int64("waitMs", wait.Milliseconds()).
				Msg("this VM's entry could not be written or kept")
		} else {
			fails = 0
		}
		tm := time.NewTimer(wait)
		select {
		case <-tm.C:
		case <-el.lost:
			tm.Stop()
			// An entry goes with its lease: to write under that one would be refused.
			el.listed, el.lease = false, 0
			pause(ctx, time.Duration(rand.Int64N(int64(enlistRetry))))
		case <-ctx.Done():
			tm.Stop()
		}
	}
}

// adopt takes over the lease of a former process, if its entry is found soon.
func (el *enlist) adopt(ctx context.Context) {
	tm := time.NewTimer(adoptTime)
	defer tm.Stop()
	select {
	case <-el.copied:
	case <-tm.C:
	case <-ctx.Done():
	}
	select {
	case el.lease = <-el.former:
		el.listed = true
		el.eg.cfg.Log.Info().Uint64("lease", el.lease).Msg("entry of a former process taken over")
	default:
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

// round writes the entry, or keeps it.
func (el *enlist) round(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, enlistTime)
	defer cancel()
	store := el.eg.cfg.Store
	if el.listed {
		err := store.Keep(bounded, el.lease)
		if err != nil && store.Missing(err) {
			el.listed, el.lease = false, 0
			return el.round(ctx)
		}
		return err
	}
	if el.lease == 0 {
		lease, _, err := store.Grant(bounded, el.eg.set.LeaseTime)
		if err != nil {
			return err
		}
		el.lease = lease
	}
	key, value := el.entry()
	if err := store.Put(bounded, key, value, el.lease); err != nil {
		if store.Missing(err) {
			el.lease = 0
		}
		return err
	}
	el.listed = true
	return nil
}

// end takes the entry away, and only when nothing writes it any more: a
// round that found its lease ended would take out another, and the VM would stay
// listed after it is gone.
func (el *enlist) end(ctx context.Context) {
	el.halt()
	select {
	case <-el.ended:
	case <-ctx.Done():
		el.eg.cfg.Log.Warn().Err(ctx.Err()).Msg("this VM's entry is left to lapse: a call to the store goes on")
		return
	}
	if el.lease == 0 {
		return
	}
	if err := el.eg.cfg.Store.End(ctx, el.lease); err != nil {
		// It lapses by itself.
		el.eg.cfg.Log.Warn().Err(err).Msg("this VM's entry could not be taken away")
	}
	el.lease = 0
}
