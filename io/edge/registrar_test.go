package edge

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/enlist"
	"laburnumvane/io/meter"
)

// ledger is a store that counts what is asked of it.
type ledger struct {
	Store

	mu      sync.Mutex
	grants  int
	writes  int
	entries map[string]uint64
}

// storeTime is how long the store takes for a call.
const storeTime = 4 * time.Millisecond

func (le *ledger) Grant(context.Context, time.Duration) (lease uint64, granted time.Duration, err error) {
	time.Sleep(storeTime)
	le.mu.Lock()
	defer le.mu.Unlock()
	le.grants++
	return uint64(le.grants), time.Minute, nil
}

func (le *ledger) Put(_ context.Context, entries []enlist.Leased) error {
	time.Sleep(storeTime)
	le.mu.Lock()
	defer le.mu.Unlock()
	le.writes++
	for _, en := range entries {
		le.entries[en.Key] = en.Lease
	}
	return nil
}

// A fleet starts, and the entries of its VMs come to the one that writes them as fast as its
// machines let them start. A write for each would be more than the store allows a large
// fleet: there may be one each time that entries were collected, and one for each
// transaction that is full, however the starts are spread.
func TestEntriesAreWrittenTogether(t *testing.T) {
	cases := []struct {
		name string
		vms  int
		// over is the time within which they start.
		over time.Duration
	}{
		{"one", 1, 0},
		{"16 at once", 16, 0},
		{"16 within the time of one collection", 16, 190 * time.Millisecond},
		{"16 on a slow machine", 16, 540 * time.Millisecond},
		{"16 on a machine with heavy load", 16, 1110 * time.Millisecond},
		{"195 at once", 195, 0},
		{"195 within half a second", 195, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { enterAll(t, tc.vms, tc.over) })
		})
	}
}

// enterAll has so many VMs of two data centres enter, evenly within a time.
func enterAll(t *testing.T, vms int, over time.Duration) {
	t.Helper()
	is := is.New(t)
	le := &ledger{entries: make(map[string]uint64)}
	eg := &Edge{cfg: Config{Store: le, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}, meter: meter.New()}
	eg.leases.Store(&map[string]uint64{})
	rg := newRegistrar(eg)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go rg.run(ctx)
	var all sync.WaitGroup
	began := time.Now()
	for i := range vms {
		all.Go(func() {
			time.Sleep(over * time.Duration(i) / time.Duration(vms))
			en := enlist.Entry{Key: fmt.Sprint(i), DataCentre: []string{"east", "west"}[i%2]}
			lease, err := rg.enter(ctx, en)
			is.NoErr(err)
			is.True(lease > 0)
		})
	}
	all.Wait()
	is.Equal(len(le.entries), vms)
	is.Equal(le.grants, min(vms, 2)) // one lease of each data centre
	is.True(le.writes <= 1+int(over/gatherTime)+(vms-1)/enlist.TxnMost)
	is.True(time.Since(began) <= over+gatherTime+time.Duration(le.writes+le.grants)*storeTime)
}
