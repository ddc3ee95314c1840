package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// keepShare is how many times a lease is renewed within its time.
	keepShare = 3
	// enlistTime bounds a call.
	enlistTime = time.Second
	// enlistRetry is the wait after a call that failed; as much again is drawn,
	// so that a fleet whose entries were lost together does not write them at
	// the same moment.
	enlistRetry = time.Second
)

// enlist keeps this VM's entry in the store, by which the others find it.
type enlist struct {
	eg    *Edge
	lease uint64
	// listed is set while the entry is thought to be there.
	listed bool
	lost   chan struct{}
	// halt closes stop, which ends run, and run closes ended.
	halt  func()
	stop  chan struct{}
	ended chan struct{}
}

func newEnlist(eg *Edge) *enlist {
	stop := make(chan struct{})
	return &enlist{
		eg:    eg,
		lost:  make(chan struct{}, 1),
		halt:  sync.OnceFunc(func() { close(stop) }),
		stop:  stop,
		ended: make(chan struct{}),
	}
}

// again tells that the entry was seen to go.
func (el *enlist) again() {
	select {
	case el.lost <- struct{}{}:
	default:
	}
}

// run writes the entry and keeps it until end is called or the context ends.
func (el *enlist) run(ctx context.Context) {
	defer close(el.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-el.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		wait := el.eg.set.LeaseTime / keepShare
		if err := el.round(ctx); err != nil {
			el.eg.cfg.Log.Warn().Err(err).Msg("this VM's entry could not be written or kept")
			wait = enlistRetry + time.Duration(rand.Int64N(int64(enlistRetry)))
		}
		tm := time.NewTimer(wait)
		select {
		case <-tm.C:
		case <-el.lost:
			tm.Stop()
			el.listed = false
			pause(ctx, time.Duration(rand.Int64N(int64(enlistRetry))))
		case <-ctx.Done():
			tm.Stop()
		}
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
	key, value := el.eg.cfg.Decoder.VMEntry(el.eg.set.Name, el.eg.set.Self, el.eg.set.Capacity)
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
