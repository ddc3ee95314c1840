package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/io/meter"
)

const (
	// gatherTime is how long entries are collected before they are written together.
	// Nobody waits for an entry, and a fleet starts within some tenths of a second.
	gatherTime = 200 * time.Millisecond
	// registerTime bounds the writing of one transaction, with the leases that it needs.
	registerTime = 2 * time.Second
)

// registrar writes entries in the store, this VM's own and those of others that ask for
// it: together, and those of a data centre under one lease.
type registrar struct {
	eg *Edge
	// due wakes run.
	due chan struct{}
	// leases are those taken out here, by data centre; only run uses it.
	leases map[string]uint64

	mu      sync.Mutex
	book    enlist.Book
	waiting map[string]chan registered
}

// registered is what came of an entry.
type registered struct {
	lease uint64
	err   error
}

func newRegistrar(eg *Edge) *registrar {
	return &registrar{
		eg:      eg,
		due:     make(chan struct{}, 1),
		leases:  make(map[string]uint64),
		waiting: make(map[string]chan registered),
	}
}

// enter has an entry written beside others and returns its lease. Once it is being
// written, its end is waited for whatever the context says: who takes the entry away
// must do so after it was written.
func (rg *registrar) enter(ctx context.Context, en enlist.Entry) (uint64, error) {
	done := make(chan registered, 1)
	rg.add(en, done)
	select {
	case re := <-done:
		return re.lease, re.err
	case <-ctx.Done():
	}
	if rg.withdrawn(en.Key, done) {
		return 0, ctx.Err()
	}
	re := <-done
	return re.lease, re.err
}

func (rg *registrar) add(en enlist.Entry, done chan registered) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if former, ok := rg.waiting[en.Key]; ok {
		former <- registered{err: context.Canceled}
	}
	rg.book.Add(en)
	rg.waiting[en.Key] = done
	select {
	case rg.due <- struct{}{}:
	default:
	}
}

// withdrawn takes an entry out of the book; false if it is being written already.
func (rg *registrar) withdrawn(key string, done chan registered) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.waiting[key] != done {
		return false
	}
	delete(rg.waiting, key)
	rg.book.Drop(key)
	return true
}

// run writes what is in the book until its context ends.
func (rg *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-rg.due:
			pause(ctx, gatherTime)
			// What comes while these are being written is collected anew.
			for range rg.transactions() {
				rg.write(ctx)
			}
		case <-ctx.Done():
		}
	}
}

// transactions is how many it takes to write what is in the book.
func (rg *registrar) transactions() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.book.Transactions()
}

// write writes the next transaction, if there is one left.
func (rg *registrar) write(ctx context.Context) {
	entries, waiting := rg.take()
	if len(entries) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, registerTime)
	defer cancel()
	leased, err := rg.put(bounded, entries)
	rg.eg.meter.Count(meter.Platform, "enter")
	rg.eg.cfg.Log.Info().Int("entries", len(entries)).Err(err).Msg("entries of VMs written")
	for i, done := range waiting {
		re := registered{err: err}
		if err == nil {
			re.lease = leased[i].Lease
		}
		done <- re
	}
}

// take is the next transaction, with those who wait for it.
func (rg *registrar) take() ([]enlist.Entry, []chan registered) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	entries := rg.book.Take()
	waiting := make([]chan registered, len(entries))
	for i, en := range entries {
		waiting[i] = rg.waiting[en.Key]
		delete(rg.waiting, en.Key)
	}
	return entries, waiting
}

// put writes entries under the leases of their data centres, as this VM took them out
// or the copy of the store shows them. One of those may have ended, and the store does
// not tell which: then all are taken out anew.
func (rg *registrar) put(ctx context.Context, entries []enlist.Entry) ([]enlist.Leased, error) {
	known := maps.Clone(*rg.eg.leases.Load())
	maps.Copy(known, rg.leases)
	leased, err := rg.lease(ctx, entries, known)
	if err != nil {
		return nil, err
	}
	store := rg.eg.cfg.Store
	if err := store.Put(ctx, leased); err == nil || !store.Missing(err) {
		return leased, err
	}
	if leased, err = rg.lease(ctx, entries, make(map[string]uint64)); err != nil {
		return nil, err
	}
	return leased, store.Put(ctx, leased)
}

// lease gives each entry the lease of its data centre, and takes one out where none is
// known.
func (rg *registrar) lease(ctx context.Context, entries []enlist.Entry, known map[string]uint64) ([]enlist.Leased, error) {
	leased := make([]enlist.Leased, len(entries))
	for i, en := range entries {
		lease := known[en.DataCentre]
		if lease == 0 {
			var err error
			if lease, _, err = rg.eg.cfg.Store.Grant(ctx, rg.eg.set.LeaseTime); err != nil {
				return nil, err
			}
			known[en.DataCentre], rg.leases[en.DataCentre] = lease, lease
		}
		leased[i] = enlist.Leased{Entry: en, Lease: lease}
	}
	return leased, nil
}
