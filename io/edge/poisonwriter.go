package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/core/mirror"
	"laburnumvane/core/poison"
	"laburnumvane/core/retry"
	"laburnumvane/io/meter"
)

const (
	// poisonWriteInterval is the least time between two writes. If many servers crash at once,
	// many requests become suspect at once, and are written together.
	poisonWriteInterval = 200 * time.Millisecond
	// maxPoisonBatch limits the records of one write, and maxPoisonPending those that wait.
	// Beyond it requests that are only suspect are dropped.
	maxPoisonBatch   = 16
	maxPoisonPending = 256
	// poisonWriteTimeout limits a write, including its lease.
	poisonWriteTimeout = 2 * time.Second
	// minPoisonRetryWait is the wait after the first failed write; it doubles up to
	// maxPoisonRetryWait. It is short because other VMs need the records soon after the store
	// is back.
	minPoisonRetryWait = 200 * time.Millisecond
	maxPoisonRetryWait = time.Second
	// poisonLeaseReuse is how long a lease is used for further records, so that a write of many
	// needs one call to the store instead of two.
	poisonLeaseReuse = time.Minute
)

// poisonWriter writes an entry to the store for each request under which servers crashed, so
// that other VMs know of it. An entry expires with its lease unless a VM writes it again.
type poisonWriter struct {
	eg  *Edge
	due chan struct{}
	// lease is the lease of the last write and leasedAt when it was created; only run uses
	// them.
	lease    uint64
	leasedAt time.Duration

	mu sync.Mutex
	// pending holds the latest update of each request.
	pending map[poison.Fingerprint]poison.Update
}

func newPoisonWriter(eg *Edge) *poisonWriter {
	return &poisonWriter{eg: eg, due: make(chan struct{}, 1), pending: make(map[poison.Fingerprint]poison.Update)}
}

// add queues an update to be written.
func (pw *poisonWriter) add(up poison.Update) {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	if _, ok := pw.pending[up.Fingerprint]; !ok && len(pw.pending) >= maxPoisonPending && up.State != poison.Blocked {
		pw.eg.meter.Count(meter.Poison, "notShared")
		return
	}
	pw.pending[up.Fingerprint] = up
	pw.wake()
}

func (pw *poisonWriter) wake() {
	select {
	case pw.due <- struct{}{}:
	default:
	}
}

// nextBatch returns the updates for the next write: blocked requests before suspect ones.
func (pw *poisonWriter) nextBatch() []poison.Update {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	var ups []poison.Update
	for _, blocked := range []bool{true, false} {
		for fp, up := range pw.pending {
			if len(ups) < maxPoisonBatch && (up.State == poison.Blocked) == blocked {
				ups = append(ups, up)
				delete(pw.pending, fp)
			}
		}
	}
	return ups
}

// requeue queues the updates of a failed write again, except those for which there is a newer
// one.
func (pw *poisonWriter) requeue(ups []poison.Update) {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	for _, up := range ups {
		if _, ok := pw.pending[up.Fingerprint]; !ok {
			pw.pending[up.Fingerprint] = up
		}
	}
}

// run writes pending updates until its context ends.
func (pw *poisonWriter) run(ctx context.Context) {
	fails := 0
	for ctx.Err() == nil {
		select {
		case <-pw.due:
		case <-ctx.Done():
			return
		}
		for ups := pw.nextBatch(); len(ups) > 0; ups = pw.nextBatch() {
			wait := poisonWriteInterval
			if err := pw.write(ctx, ups); err != nil {
				pw.requeue(ups)
				fails++
				bo := retry.Backoff{Initial: minPoisonRetryWait, Max: maxPoisonRetryWait, Jitter: 1}
				wait = bo.Wait(fails, rand.Float64())
				pw.eg.cfg.Log.Warn().Err(err).Int("records", len(ups)).Int("fails", fails).Msg("could not write records of requests under which servers ended")
			} else {
				fails = 0
			}
			sleep(ctx, wait)
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// write writes the records, and deletes those of requests that were answered.
func (pw *poisonWriter) write(ctx context.Context, ups []poison.Update) error {
	bounded, cancel := context.WithTimeout(ctx, poisonWriteTimeout)
	defer cancel()
	pw.eg.meter.Count(meter.Platform, "share")
	var puts []enlist.LeasedEntry
	var deletes []mirror.Item
	for _, up := range ups {
		key, value := pw.eg.cfg.Decoder.PoisonEntry(up.Record)
		if up.Cleared {
			deletes = append(deletes, mirror.Item{Key: key})
			continue
		}
		puts = append(puts, enlist.LeasedEntry{Entry: enlist.Entry{Key: key, Value: value}})
	}
	if err := pw.put(bounded, puts); err != nil {
		return err
	}
	if len(deletes) == 0 {
		return nil
	}
	return pw.eg.cfg.Store.Remove(bounded, deletes)
}

func (pw *poisonWriter) put(ctx context.Context, puts []enlist.LeasedEntry) error {
	if len(puts) == 0 {
		return nil
	}
	store, now := pw.eg.cfg.Store, pw.eg.clock()
	if pw.lease == 0 || now-pw.leasedAt > poisonLeaseReuse {
		lease, _, err := store.Grant(ctx, poison.BlockDuration)
		if err != nil {
			return err
		}
		pw.lease, pw.leasedAt = lease, now
	}
	for i := range puts {
		puts[i].Lease = pw.lease
	}
	err := store.Put(ctx, puts)
	if err != nil && store.IsLeaseMissing(err) {
		pw.lease = 0
	}
	return err
}
