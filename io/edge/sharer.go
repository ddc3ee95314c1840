package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/core/feed"
	"laburnumvane/core/poison"
	"laburnumvane/core/retry"
	"laburnumvane/io/meter"
)

const (
	// sharePace is the least time between two writes: where many servers end at once many
	// requests are suspected at once, and go together.
	sharePace = 200 * time.Millisecond
	// shareMost bounds the records of one write, and shareWaiting those that wait; beyond
	// it requests that are only suspected are left out.
	shareMost    = 16
	shareWaiting = 256
	// shareTime bounds a write with its lease.
	shareTime = 2 * time.Second
	// shareRetry is the wait after a write that failed, and doubles up to shareRetryMost:
	// once the store is back VMs have to hear soon.
	shareRetry     = 200 * time.Millisecond
	shareRetryMost = time.Second
	// shareLeaseFor is how long a lease is used for further records, so that many need one
	// call and not two each.
	shareLeaseFor = time.Minute
)

// sharer tells the other VMs of requests under which servers ended, by an entry in the
// store for each. The entries go when nobody writes them again.
type sharer struct {
	eg  *Edge
	due chan struct{}
	// lease is that of the last write, and leased when it was taken out; only run uses
	// them.
	lease  uint64
	leased time.Duration

	mu sync.Mutex
	// waiting are by request, the latest of each.
	waiting map[poison.Fingerprint]poison.Update
}

func newSharer(eg *Edge) *sharer {
	return &sharer{eg: eg, due: make(chan struct{}, 1), waiting: make(map[poison.Fingerprint]poison.Update)}
}

// add has a record written.
func (sh *sharer) add(up poison.Update) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.waiting[up.Fingerprint]; !ok && len(sh.waiting) >= shareWaiting && up.State != poison.Blocked {
		sh.eg.meter.Count(meter.Poison, "notShared")
		return
	}
	sh.waiting[up.Fingerprint] = up
	sh.wake()
}

func (sh *sharer) wake() {
	select {
	case sh.due <- struct{}{}:
	default:
	}
}

// take is the next write: requests that are blocked before those that are suspected.
func (sh *sharer) take() []poison.Update {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var ups []poison.Update
	for _, blocked := range []bool{true, false} {
		for fp, up := range sh.waiting {
			if len(ups) < shareMost && (up.State == poison.Blocked) == blocked {
				ups = append(ups, up)
				delete(sh.waiting, fp)
			}
		}
	}
	return ups
}

// putBack has records of a write that failed written again, unless there is newer word.
func (sh *sharer) putBack(ups []poison.Update) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, up := range ups {
		if _, ok := sh.waiting[up.Fingerprint]; !ok {
			sh.waiting[up.Fingerprint] = up
		}
	}
}

// run writes what waits until its context ends.
func (sh *sharer) run(ctx context.Context) {
	fails := 0
	for ctx.Err() == nil {
		select {
		case <-sh.due:
		case <-ctx.Done():
			return
		}
		for ups := sh.take(); len(ups) > 0; ups = sh.take() {
			wait := sharePace
			if err := sh.write(ctx, ups); err != nil {
				sh.putBack(ups)
				fails++
				bo := retry.Backoff{First: shareRetry, Most: shareRetryMost, Jitter: 1}
				wait = bo.Wait(fails, rand.Float64())
				sh.eg.cfg.Log.Warn().Err(err).Int("records", len(ups)).Int("fails", fails).Msg("other VMs could not be told of requests under which servers ended")
			} else {
				fails = 0
			}
			pause(ctx, wait)
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// write writes records, and takes away those of requests that were answered.
func (sh *sharer) write(ctx context.Context, ups []poison.Update) error {
	bounded, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	sh.eg.meter.Count(meter.Platform, "share")
	var puts []enlist.Leased
	var gone []feed.Item
	for _, up := range ups {
		key, value := sh.eg.cfg.Decoder.PoisonEntry(up.Record)
		if up.Cleared {
			gone = append(gone, feed.Item{Key: key})
			continue
		}
		puts = append(puts, enlist.Leased{Entry: enlist.Entry{Key: key, Value: value}})
	}
	if err := sh.put(bounded, puts); err != nil {
		return err
	}
	if len(gone) == 0 {
		return nil
	}
	return sh.eg.cfg.Store.Remove(bounded, gone)
}

func (sh *sharer) put(ctx context.Context, puts []enlist.Leased) error {
	if len(puts) == 0 {
		return nil
	}
	store, now := sh.eg.cfg.Store, sh.eg.clock()
	if sh.lease == 0 || now-sh.leased > shareLeaseFor {
		lease, _, err := store.Grant(ctx, poison.BlockFor)
		if err != nil {
			return err
		}
		sh.lease, sh.leased = lease, now
	}
	for i := range puts {
		puts[i].Lease = sh.lease
	}
	err := store.Put(ctx, puts)
	if err != nil && store.Missing(err) {
		sh.lease = 0
	}
	return err
}
