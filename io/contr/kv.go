package contr

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// KVService is a key-value service under test. The test changes keys with the prefix "contract/".
type KVService struct {
	Addr string
	// Compact discards the history of all changes so far. If it is nil, the clauses that need
	// it are skipped.
	Compact func()
}

// KV checks what VMs rely on from a key-value service.
func KV(t *testing.T, start func(t *testing.T) KVService) {
	t.Helper()
	runClauses(t, start, []clause[KVService]{
		{"reading an absent key is not an error", kvAbsent},
		{"a swap needs the current revision", kvSwap},
		{"revisions increase across all keys", kvRevisions},
		{"a range returns the keys with the prefix, sorted", kvRange},
		{"a watch returns the changes after its revision, in order", kvWatch},
		{"a watch without changes ends after its wait time", kvWatchEmpty},
		{"a waiting watch returns a change at once", kvWatchWaits},
		{"a watch from before a compaction reports the compaction", kvCompaction},
		{"a key is deleted with its lease", kvLease},
		{"a swap with an unknown lease is refused and writes nothing", kvNoLease},
		{"a malformed request is refused", kvMalformed},
		{"values are arbitrary bytes", kvBytes},
	})
}

const kvPrefix = "contract/"

func (sv KVService) url(route string) string { return "http://" + sv.Addr + route }

func (sv KVService) swap(t *testing.T, rq wire.KVSwapRequest) wire.KVSwapReply {
	t.Helper()
	return post[wire.KVSwapReply](t, sv.url(wire.RouteKVSwap), rq)
}

// put writes a value over the current one and returns the new revision.
func (sv KVService) put(t *testing.T, key, value string) uint64 {
	t.Helper()
	rp := sv.swap(t, wire.KVSwapRequest{Key: key, Value: []byte(value), Expect: sv.revisionOf(t, key)})
	is.New(t).True(rp.Swapped)
	return rp.Current.Revision
}

func (sv KVService) get(t *testing.T, key string) wire.KVRangeReply {
	t.Helper()
	return post[wire.KVRangeReply](t, sv.url(wire.RouteKVGet), wire.KVGetRequest{Key: key})
}

func (sv KVService) revisionOf(t *testing.T, key string) uint64 {
	t.Helper()
	rp := sv.get(t, key)
	if len(rp.Pairs) == 0 {
		return 0
	}
	return rp.Pairs[0].Revision
}

func (sv KVService) watch(t *testing.T, from uint64, wait time.Duration) wire.KVWatchReply {
	t.Helper()
	rq := wire.KVWatchRequest{Prefix: kvPrefix, From: from, WaitMs: wait.Milliseconds()}
	return post[wire.KVWatchReply](t, sv.url(wire.RouteKVWatch), rq)
}

func kvAbsent(t *testing.T, sv KVService) {
	is := is.New(t)
	rp := sv.get(t, kvPrefix+"absent")
	is.Equal(len(rp.Pairs), 0)
}

func kvSwap(t *testing.T, sv KVService) {
	key := kvPrefix + "swap"
	first := sv.put(t, key, "1")
	cases := []struct {
		name    string
		key     string
		expect  uint64
		swapped bool
		exists  bool
	}{
		{"key expected absent but present", key, 0, false, true},
		{"older revision", key, first - 1, false, true},
		{"future revision", key, first + 1000, false, true},
		{"revision of an absent key", kvPrefix + "none", first, false, false},
		{"current revision", key, first, true, true},
		{"same revision again", key, first, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rp := sv.swap(t, wire.KVSwapRequest{Key: tc.key, Value: []byte("2"), Expect: tc.expect})
			is.Equal(rp.Swapped, tc.swapped)
			is.Equal(rp.Current != nil, tc.exists)
			if rp.Current != nil {
				is.Equal(rp.Current.Revision, sv.revisionOf(t, tc.key)) // the reply has the current revision
			}
		})
	}
}

func kvRevisions(t *testing.T, sv KVService) {
	is := is.New(t)
	last := uint64(0)
	for _, key := range []string{"a", "b", "a", "c", "b"} {
		revision := sv.put(t, kvPrefix+key, "x")
		is.True(revision > last)
		last = revision
	}
	is.True(sv.get(t, kvPrefix+"a").Revision >= last)
}

func kvRange(t *testing.T, sv KVService) {
	is := is.New(t)
	for _, key := range []string{"r/b", "r/a", "s"} {
		sv.put(t, kvPrefix+key, key)
	}
	rp := post[wire.KVRangeReply](t, sv.url(wire.RouteKVRange), wire.KVRangeRequest{Prefix: kvPrefix + "r/"})
	is.Equal(len(rp.Pairs), 2)
	is.Equal(rp.Pairs[0].Key, kvPrefix+"r/a")
	is.Equal(string(rp.Pairs[1].Value), "r/b")
	is.True(rp.Revision >= rp.Pairs[0].Revision)
}

func kvWatch(t *testing.T, sv KVService) {
	is := is.New(t)
	from := sv.put(t, kvPrefix+"w", "0")
	first := sv.put(t, kvPrefix+"w", "1")
	second := sv.put(t, kvPrefix+"v", "2")
	rp := sv.watch(t, from, 0)
	is.Equal(len(rp.Events), 2)
	is.Equal(rp.Events[0].Revision, first)
	is.Equal(rp.Events[1].Revision, second)
	is.True(rp.Revision >= second)
	is.Equal(len(sv.watch(t, rp.Revision, 0).Events), 0) // no event is repeated
}

func kvWatchEmpty(t *testing.T, sv KVService) {
	is := is.New(t)
	from := sv.put(t, kvPrefix+"w", "0")
	rp := sv.watch(t, from, time.Millisecond)
	is.Equal(len(rp.Events), 0)
	is.Equal(rp.Compacted, false)
	is.True(rp.Revision >= from)
}

func kvWatchWaits(t *testing.T, sv KVService) {
	is := is.New(t)
	from := sv.put(t, kvPrefix+"w", "0")
	got := make(chan wire.KVWatchReply, 1)
	go func() { got <- sv.watch(t, from, testTimeout/2) }()
	second := sv.put(t, kvPrefix+"w", "1")
	rp := <-got
	is.Equal(len(rp.Events), 1)
	is.Equal(rp.Events[0].Revision, second)
}

func kvCompaction(t *testing.T, sv KVService) {
	if sv.Compact == nil {
		t.Skip("the service offers no way to compact")
	}
	is := is.New(t)
	from := sv.put(t, kvPrefix+"w", "0")
	sv.put(t, kvPrefix+"w", "1")
	sv.Compact()
	is.True(sv.watch(t, from, 0).Compacted)
	now := sv.get(t, kvPrefix+"w").Revision
	is.Equal(sv.watch(t, now, 0).Compacted, false) // a watch from the current revision works
}

func kvLease(t *testing.T, sv KVService) {
	is := is.New(t)
	key := kvPrefix + "leased"
	long := post[wire.KVLeaseReply](t, sv.url(wire.RouteKVLease), wire.KVLeaseRequest{TTLMs: time.Hour.Milliseconds()})
	is.True(long.ID != 0)
	is.True(sv.swap(t, wire.KVSwapRequest{Key: key, Lease: long.ID}).Swapped)
	kept := post[wire.KVLeaseReply](t, sv.url(wire.RouteKVKeepAlive), wire.KVLeaseRequest{ID: long.ID})
	is.True(kept.TTLMs > 0)

	short := post[wire.KVLeaseReply](t, sv.url(wire.RouteKVLease), wire.KVLeaseRequest{TTLMs: 1})
	from := sv.get(t, key).Revision
	rp := send(t, http.MethodPost, sv.url(wire.RouteKVSwap), nil, wire.KVSwapRequest{Key: kvPrefix + "brief", Lease: short.ID})
	if rp.status != http.StatusOK {
		return // the lease expired before the swap, which was refused
	}
	for gone := false; !gone; {
		for _, ev := range sv.watch(t, from, time.Second).Events {
			gone = gone || ev.Key == kvPrefix+"brief" && ev.Deleted
		}
	}
	is.Equal(len(sv.get(t, kvPrefix+"brief").Pairs), 0)
	is.Equal(post[wire.KVLeaseReply](t, sv.url(wire.RouteKVKeepAlive), wire.KVLeaseRequest{ID: short.ID}).TTLMs, int64(0))
	is.Equal(len(sv.get(t, key).Pairs), 1) // the other lease's key remains
}

func kvNoLease(t *testing.T, sv KVService) {
	is := is.New(t)
	key := kvPrefix + "noLease"
	rp := send(t, http.MethodPost, sv.url(wire.RouteKVSwap), nil, wire.KVSwapRequest{Key: key, Lease: 1 << 40})
	is.True(rp.status >= 400 && rp.status < 500) // for the client this means that nothing was written
	is.Equal(len(sv.get(t, key).Pairs), 0)
}

func kvMalformed(t *testing.T, sv KVService) {
	for _, route := range []string{wire.RouteKVGet, wire.RouteKVRange, wire.RouteKVSwap, wire.RouteKVWatch, wire.RouteKVLease, wire.RouteKVKeepAlive} {
		rp := send(t, http.MethodPost, sv.url(route), nil, `{"key":`)
		is.New(t).True(rp.status >= 400 && rp.status < 500)
	}
}

func kvBytes(t *testing.T, sv KVService) {
	is := is.New(t)
	key := kvPrefix + "bytes"
	value := []byte{0, 0xff, '"', '\n'}
	is.True(sv.swap(t, wire.KVSwapRequest{Key: key, Value: value, Expect: sv.revisionOf(t, key)}).Swapped)
	is.Equal(sv.get(t, key).Pairs[0].Value, value)
}
