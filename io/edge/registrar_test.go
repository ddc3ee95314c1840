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

// countingStore is a store that counts calls.
type countingStore struct {
	Store

	mu      sync.Mutex
	grants  int
	writes  int
	entries map[string]uint64
}

// storeLatency is how long a call to the store takes.
const storeLatency = 4 * time.Millisecond

func (cs *countingStore) Grant(context.Context, time.Duration) (lease uint64, granted time.Duration, err error) {
	time.Sleep(storeLatency)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.grants++
	return uint64(cs.grants), time.Minute, nil
}

func (cs *countingStore) Put(_ context.Context, entries []enlist.LeasedEntry) error {
	time.Sleep(storeLatency)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.writes++
	for _, en := range entries {
		cs.entries[en.Key] = en.Lease
	}
	return nil
}

// A fleet starts, and its VMs ask one of them to write their entries, as fast as their machines
// let them start. One write per VM would exceed what the store allows a large fleet. However
// the starts are spread, there may be only one write per collection time, and one for each full
// transaction.
func TestEntriesAreWrittenTogether(t *testing.T) {
	cases := []struct {
		name string
		vms  int
		// over is the time within which they start.
		over time.Duration
	}{
		{"one", 1, 0},
		{"16 at once", 16, 0},
		{"16 within one collection time", 16, 190 * time.Millisecond},
		{"16 on a slow machine", 16, 540 * time.Millisecond},
		{"16 on a heavily loaded machine", 16, 1110 * time.Millisecond},
		{"195 at once", 195, 0},
		{"195 within half a second", 195, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { registerAll(t, tc.vms, tc.over) })
		})
	}
}

// registerAll registers VMs of two data centres, evenly spread over a time.
func registerAll(t *testing.T, vms int, over time.Duration) {
	t.Helper()
	is := is.New(t)
	cs := &countingStore{entries: make(map[string]uint64)}
	eg := &Edge{cfg: Config{Store: cs, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}, meter: meter.New()}
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
			lease, err := rg.register(ctx, en)
			is.NoErr(err)
			is.True(lease > 0)
		})
	}
	all.Wait()
	is.Equal(len(cs.entries), vms)
	is.Equal(cs.grants, min(vms, 2)) // one lease of each data centre
	is.True(cs.writes <= 1+int(over/collectTime)+(vms-1)/enlist.MaxTxnEntries)
	is.True(time.Since(began) <= over+collectTime+time.Duration(cs.writes+cs.grants)*storeLatency)
}
