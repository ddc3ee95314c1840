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
	// collectTime is how long entries are collected before they are written together. No
	// request waits for an entry, and a fleet starts within a few tenths of a second.
	collectTime = 200 * time.Millisecond
	// transactionTimeout limits the writing of one transaction, including the leases that it
	// needs.
	transactionTimeout = 2 * time.Second
)

// registrar writes the entries of this VM and of VMs that ask it to: several in one
// transaction, and those of a data centre under one lease.
type registrar struct {
	eg *Edge
	// due wakes run.
	due chan struct{}
	// leases are the leases that this VM created, by data centre; only run uses it.
	leases map[string]uint64

	mu      sync.Mutex
	batch   enlist.Batch
	waiting map[string]chan registerResult
}

// registerResult is the result of writing an entry.
type registerResult struct {
	lease uint64
	err   error
}

func newRegistrar(eg *Edge) *registrar {
	return &registrar{
		eg:      eg,
		due:     make(chan struct{}, 1),
		leases:  make(map[string]uint64),
		waiting: make(map[string]chan registerResult),
	}
}

// register has an entry written in a transaction with others and returns its lease. Once the
// transaction has begun, register waits for its end even if the context ends: a caller that
// removes the entry must do so after it was written.
func (rg *registrar) register(ctx context.Context, en enlist.Entry) (uint64, error) {
	done := make(chan registerResult, 1)
	rg.enqueue(en, done)
	select {
	case re := <-done:
		return re.lease, re.err
	case <-ctx.Done():
	}
	if rg.withdraw(en.Key, done) {
		return 0, ctx.Err()
	}
	re := <-done
	return re.lease, re.err
}

func (rg *registrar) enqueue(en enlist.Entry, done chan registerResult) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if old, ok := rg.waiting[en.Key]; ok {
		old <- registerResult{err: context.Canceled}
	}
	rg.batch.Add(en)
	rg.waiting[en.Key] = done
	select {
	case rg.due <- struct{}{}:
	default:
	}
}

// withdraw removes an entry from the batch. It returns false if the entry is already being
// written.
func (rg *registrar) withdraw(key string, done chan registerResult) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.waiting[key] != done {
		return false
	}
	delete(rg.waiting, key)
	rg.batch.Drop(key)
	return true
}

// run writes the batch until its context ends.
func (rg *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-rg.due:
			sleep(ctx, collectTime)
			// Entries that arrive meanwhile are collected anew.
			for range rg.transactions() {
				rg.writeNext(ctx)
			}
		case <-ctx.Done():
		}
	}
}

// transactions returns the number of transactions needed to write the batch.
func (rg *registrar) transactions() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.batch.Transactions()
}

// writeNext writes the next transaction, if there is one.
func (rg *registrar) writeNext(ctx context.Context) {
	entries, waiting := rg.nextBatch()
	if len(entries) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, transactionTimeout)
	defer cancel()
	leased, err := rg.put(bounded, entries)
	rg.eg.meter.Count(meter.Platform, "enter")
	rg.eg.cfg.Log.Info().Int("entries", len(entries)).Err(err).Msg("wrote entries of VMs")
	for i, done := range waiting {
		re := registerResult{err: err}
		if err == nil {
			re.lease = leased[i].Lease
		}
		done <- re
	}
}

// nextBatch returns the entries of the next transaction and the channels of their callers.
func (rg *registrar) nextBatch() ([]enlist.Entry, []chan registerResult) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	entries := rg.batch.Take()
	waiting := make([]chan registerResult, len(entries))
	for i, en := range entries {
		waiting[i] = rg.waiting[en.Key]
		delete(rg.waiting, en.Key)
	}
	return entries, waiting
}

// put writes entries under the leases of their data centres: those that this VM created, or
// else those that the copy of the store shows. If one of them has ended, the store does not say
// which, so all are created anew.
func (rg *registrar) put(ctx context.Context, entries []enlist.Entry) ([]enlist.LeasedEntry, error) {
	known := maps.Clone(*rg.eg.leases.Load())
	maps.Copy(known, rg.leases)
	leased, err := rg.assignLeases(ctx, entries, known)
	if err != nil {
		return nil, err
	}
	store := rg.eg.cfg.Store
	if err := store.Put(ctx, leased); err == nil || !store.IsLeaseMissing(err) {
		return leased, err
	}
	if leased, err = rg.assignLeases(ctx, entries, make(map[string]uint64)); err != nil {
		return nil, err
	}
	return leased, store.Put(ctx, leased)
}

// assignLeases gives each entry the lease of its data centre, and creates one if none is known.
func (rg *registrar) assignLeases(ctx context.Context, entries []enlist.Entry, known map[string]uint64) ([]enlist.LeasedEntry, error) {
	leased := make([]enlist.LeasedEntry, len(entries))
	for i, en := range entries {
		lease := known[en.DataCentre]
		if lease == 0 {
			var err error
			if lease, _, err = rg.eg.cfg.Store.Grant(ctx, rg.eg.set.LeaseTime); err != nil {
				return nil, err
			}
			known[en.DataCentre], rg.leases[en.DataCentre] = lease, lease
		}
		leased[i] = enlist.LeasedEntry{Entry: en, Lease: lease}
	}
	return leased, nil
}
