package contr

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// KVService is a key-value service under test. Keys below "contract/" are free
// for it to change.
type KVService struct {
	Addr string
	// Compact forgets all changes so far; nil skips the clauses that need it.
	Compact func()
}

// KV holds a key-value service to what VMs rely on.
func KV(t *testing.T, start func(t *testing.T) KVService) {
	t.Helper()
	run(t, start, []clause[KVService]{
		{"an absent key is no error", kvAbsent},
		{"a swap wants the revision that stands", kvSwap},
		{"revisions only grow, over all keys", kvRevisions},
		{"a range gives what has the prefix, by key", kvRange},
		{"a watch gives what came after its revision, in order", kvWatch},
		{"a watch ends without news when its wait is over", kvWatchEmpty},
		{"a watch that waits is told at once", kvWatchWaits},
		{"a watch from before a compaction is told so", kvCompaction},
		{"keys go with their lease", kvLease},
		{"a swap with an unknown lease is refused and writes nothing", kvNoLease},
		{"a body that is no request is refused", kvMalformed},
		{"values are bytes", kvBytes},
	})
}

const kvPrefix = "contract/"

func (sv KVService) url(route string) string { return "http://" + sv.Addr + route }

func (sv KVService) swap(t *testing.T, rq wire.KVSwapRequest) wire.KVSwapReply {
	t.Helper()
	return post[wire.KVSwapReply](t, sv.url(wire.RouteKVSwap), rq)
}

// write puts a value whatever stands, and gives the new revision.
func (sv KVService) write(t *testing.T, key, value string) uint64 {
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
	first := sv.write(t, key, "1")
	cases := []struct {
		name    string
		key     string
		expect  uint64
		swapped bool
		stands  bool
	}{
		{"the key must be absent and is not", key, 0, false, true},
		{"an older revision", key, first - 1, false, true},
		{"a revision that never was", key, first + 1000, false, true},
		{"an absent key has no revision", kvPrefix + "none", first, false, false},
		{"the revision that stands", key, first, true, true},
		{"the same once more", key, first, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rp := sv.swap(t, wire.KVSwapRequest{Key: tc.key, Value: []byte("2"), Expect: tc.expect})
			is.Equal(rp.Swapped, tc.swapped)
			is.Equal(rp.Current != nil, tc.stands)
			if rp.Current != nil {
				is.Equal(rp.Current.Revision, sv.revisionOf(t, tc.key)) // the reply shows what stands
			}
		})
	}
}

func kvRevisions(t *testing.T, sv KVService) {
	is := is.New(t)
	last := uint64(0)
	for _, key := range []string{"a", "b", "a", "c", "b"} {
		revision := sv.write(t, kvPrefix+key, "x")
		is.True(revision > last)
		last = revision
	}
	is.True(sv.get(t, kvPrefix+"a").Revision >= last)
}

func kvRange(t *testing.T, sv KVService) {
	is := is.New(t)
	for _, key := range []string{"r/b", "r/a", "s"} {
		sv.write(t, kvPrefix+key, key)
	}
	rp := post[wire.KVRangeReply](t, sv.url(wire.RouteKVRange), wire.KVRangeRequest{Prefix: kvPrefix + "r/"})
	is.Equal(len(rp.Pairs), 2)
	is.Equal(rp.Pairs[0].Key, kvPrefix+"r/a")
	is.Equal(string(rp.Pairs[1].Value), "r/b")
	is.True(rp.Revision >= rp.Pairs[0].Revision)
}

func kvWatch(t *testing.T, sv KVService) {
	is := is.New(t)
	from := sv.write(t, kvPrefix+"w", "0")
	first := sv.write(t, kvPrefix+"w", "1")
	second := sv.write(t, kvPrefix+"v", "2")
	rp := sv.watch(t, from, 0)
	is.Equal(len(rp.Events), 2)
	is.Equal(rp.Events[0].Revision, first)
	is.Equal(rp.Events[1].Revision, second)
	is.True(rp.Revision >= second)
	is.Equal(len(sv.watch(t, rp.Revision, 0).Events), 0) // nothing comes twice
}

func kvWatchEmpty(t *testing.T, sv KVService) {
	is := is.New(t)
	from := sv.write(t, kvPrefix+"w", "0")
	rp := sv.watch(t, from, time.Millisecond)
	is.Equal(len(rp.Events), 0)
	is.Equal(rp.Compacted, false)
	is.True(rp.Revision >= from)
}

func kvWatchWaits(t *testing.T, sv KVService) {
	is := is.New(t)
	from := sv.write(t, kvPrefix+"w", "0")
	got := make(chan wire.KVWatchReply, 1)
	go func() { got <- sv.watch(t, from, patience/2) }()
	second := sv.write(t, kvPrefix+"w", "1")
	rp := <-got
	is.Equal(len(rp.Events), 1)
	is.Equal(rp.Events[0].Revision, second)
}

func kvCompaction(t *testing.T, sv KVService) {
	if sv.Compact == nil {
		t.Skip("the service offers no way to compact")
	}
	is := is.New(t)
	from := sv.write(t, kvPrefix+"w", "0")
	sv.write(t, kvPrefix+"w", "1")
	sv.Compact()
	is.True(sv.watch(t, from, 0).Compacted)
	now := sv.get(t, kvPrefix+"w").Revision
	is.Equal(sv.watch(t, now, 0).Compacted, false) // from the present it goes on
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
		return // it lapsed before the swap, which said so
	}
	for gone := false; !gone; {
		for _, ev := range sv.watch(t, from, time.Second).Events {
			gone = gone || ev.Key == kvPrefix+"brief" && ev.Deleted
		}
	}
	is.Equal(len(sv.get(t, kvPrefix+"brief").Pairs), 0)
	is.Equal(post[wire.KVLeaseReply](t, sv.url(wire.RouteKVKeepAlive), wire.KVLeaseRequest{ID: short.ID}).TTLMs, int64(0))
	is.Equal(len(sv.get(t, key).Pairs), 1) // another lease's key stays
}

func kvNoLease(t *testing.T, sv KVService) {
	is := is.New(t)
	key := kvPrefix + "noLease"
	rp := send(t, http.MethodPost, sv.url(wire.RouteKVSwap), nil, wire.KVSwapRequest{Key: key, Lease: 1 << 40})
	is.True(rp.status >= 400 && rp.status < 500) // the client takes that for "nothing was written"
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
