package emul

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

func startKV(t *testing.T, cfg KVConfig) *KV {
	kv := NewKV(cfg)
	is.New(t).NoErr(kv.Start())
	t.Cleanup(kv.Close)
	return kv
}

func swap(t *testing.T, kv *KV, rq wire.KVSwapRequest) wire.KVSwapReply {
	t.Helper()
	var ry wire.KVSwapReply
	code, err := newTestClient(t, waitTimeout).send(kv.Addr(), wire.RouteKVSwap, rq, &ry)
	is.New(t).NoErr(err)
	is.New(t).Equal(code, http.StatusOK)
	return ry
}

func rangeOf(t *testing.T, kv *KV, prefix string) wire.KVRangeReply {
	t.Helper()
	var ry wire.KVRangeReply
	_, err := newTestClient(t, waitTimeout).send(kv.Addr(), wire.RouteKVRange, wire.KVRangeRequest{Prefix: prefix}, &ry)
	is.New(t).NoErr(err)
	return ry
}

func watch(t *testing.T, kv *KV, rq wire.KVWatchRequest) wire.KVWatchReply {
	t.Helper()
	var ry wire.KVWatchReply
	_, err := newTestClient(t, waitTimeout).send(kv.Addr(), wire.RouteKVWatch, rq, &ry)
	is.New(t).NoErr(err)
	return ry
}

func TestKVSwap(t *testing.T) {
	kv := startKV(t, KVConfig{})
	steps := []struct {
		name    string
		key     string
		value   string
		expect  uint64
		swapped bool
		current uint64 // revision afterwards; 0 means absent
	}{
		{"create", "team/a", "1", 0, true, 1},
		{"create again", "team/a", "2", 0, false, 1},
		{"other key", "team/b", "1", 0, true, 2},
		{"update", "team/a", "3", 1, true, 3},
		{"outdated revision", "team/a", "4", 1, false, 3},
		{"absent key", "team/c", "1", 7, false, 0},
	}
	for _, st := range steps {
		t.Run(st.name, func(t *testing.T) {
			is := is.New(t)
			ry := swap(t, kv, wire.KVSwapRequest{Key: st.key, Value: []byte(st.value), Expect: st.expect})
			is.Equal(ry.Swapped, st.swapped)
			if st.current == 0 {
				is.Equal(ry.Current, nil)
				return
			}
			is.Equal(ry.Current.Revision, st.current)
		})
	}
	is := is.New(t)
	ry := rangeOf(t, kv, "team/")
	is.Equal(ry.Revision, uint64(3))
	is.Equal(len(ry.Pairs), 2)
	is.Equal(string(ry.Pairs[0].Value), "3") // team/a
	is.Equal(kv.Counts().Writes(), uint64(len(steps)))
	is.Equal(kv.Counts().Reads(), uint64(1))
}

func TestKVLease(t *testing.T) {
	// The holder of a lease does not renew it in time: its key is deleted at the expiry, a
	// watch reports the deletion, and a write under the expired lease is rejected.
	is := is.New(t)
	fc := &fakeClock{}
	kv := startKV(t, KVConfig{Clock: fc.clock})
	ca := newTestClient(t, waitTimeout)
	var le wire.KVLeaseReply
	_, err := ca.send(kv.Addr(), wire.RouteKVLease, wire.KVLeaseRequest{TTLMs: 100}, &le)
	is.NoErr(err)
	is.True(swap(t, kv, wire.KVSwapRequest{Key: "vm", Lease: le.ID}).Swapped)

	fc.advance(99 * time.Millisecond)
	_, err = ca.send(kv.Addr(), wire.RouteKVKeepAlive, wire.KVLeaseRequest{ID: le.ID}, &le)
	is.NoErr(err)
	is.Equal(le.TTLMs, int64(100))
	fc.advance(99 * time.Millisecond)
	is.Equal(len(rangeOf(t, kv, "vm").Pairs), 1)

	fc.advance(time.Millisecond)
	is.Equal(len(rangeOf(t, kv, "vm").Pairs), 0)
	evs := watch(t, kv, wire.KVWatchRequest{Prefix: "vm", From: 1}).Events
	is.Equal(len(evs), 1)
	is.True(evs[0].Deleted)
	_, err = ca.send(kv.Addr(), wire.RouteKVKeepAlive, wire.KVLeaseRequest{ID: le.ID}, &le)
	is.NoErr(err)
	is.Equal(le.TTLMs, int64(0))
	code, err := ca.send(kv.Addr(), wire.RouteKVSwap, wire.KVSwapRequest{Key: "vm", Lease: le.ID}, nil)
	is.NoErr(err)
	is.Equal(code, http.StatusPreconditionFailed)
}

func TestKVWatch(t *testing.T) {
	kv := startKV(t, KVConfig{MaxEvents: 3})
	for _, key := range []string{"a/1", "b/1", "a/2", "a/3", "b/2"} { // revisions 1 to 5
		swap(t, kv, wire.KVSwapRequest{Key: key})
	}
	cases := []struct {
		name      string
		prefix    string
		from      uint64
		compacted bool
		keys      []string
	}{
		{"all events kept", "", 2, false, []string{"a/2", "a/3", "b/2"}},
		{"prefix", "a/", 2, false, []string{"a/2", "a/3"}},
		{"no new events", "a/", 5, false, []string{}},
		{"compacted", "a/", 1, true, []string{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ry := watch(t, kv, wire.KVWatchRequest{Prefix: tc.prefix, From: tc.from})
			keys := []string{}
			for _, ev := range ry.Events {
				keys = append(keys, ev.Key)
			}
			is.Equal(keys, tc.keys)
			is.Equal(ry.Compacted, tc.compacted)
			is.Equal(ry.Revision, uint64(5))
		})
	}
}

func TestKVWatchWaits(t *testing.T) {
	is := is.New(t)
	kv := startKV(t, KVConfig{})
	got := make(chan wire.KVWatchReply)
	go func() {
		got <- watch(t, kv, wire.KVWatchRequest{Prefix: "a/", WaitMs: waitTimeout.Milliseconds()})
	}()
	eventually(is, func() bool { return kv.Counts().Watch == 1 })
	swap(t, kv, wire.KVSwapRequest{Key: "b/1"})
	swap(t, kv, wire.KVSwapRequest{Key: "a/1"})
	ry := <-got
	is.Equal(len(ry.Events), 1)
	is.Equal(ry.Events[0].Key, "a/1")
	is.Equal(kv.Counts().Reads(), uint64(1)) // a watch counts as one read

	kv.Compact()
	is.True(watch(t, kv, wire.KVWatchRequest{From: 1}).Compacted)
}

func TestKVFaults(t *testing.T) {
	// Each fault affects one swap. The caller sees an error or an outdated answer; whether
	// the write took effect is seen after the fault is removed.
	cases := []struct {
		name   string
		faults KVFaults
		fails  bool
		held   bool
	}{
		{"none", KVFaults{}, false, true},
		{"slow", KVFaults{Slow: time.Millisecond}, false, true},
		{"refused", KVFaults{Refuse: true}, true, false},
		{"failing", KVFaults{Fail: true}, true, false},
		{"answer lost", KVFaults{LoseSwaps: true}, true, true},
		{"outdated reads", KVFaults{StaleReads: true}, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			kv := startKV(t, KVConfig{})
			kv.SetFaults(tc.faults)
			var ry wire.KVSwapReply
			code, err := newTestClient(t, waitTimeout).send(kv.Addr(), wire.RouteKVSwap, wire.KVSwapRequest{Key: "a"}, &ry)
			is.Equal(err != nil || code != http.StatusOK, tc.fails)
			if tc.faults.StaleReads {
				is.Equal(len(rangeOf(t, kv, "").Pairs), 0)
			}
			kv.SetFaults(KVFaults{})
			is.Equal(len(rangeOf(t, kv, "").Pairs) == 1, tc.held)
		})
	}
}

func TestKVSilentWatch(t *testing.T) {
	// A watch whose connection goes silent gets no answer although the event has happened,
	// also after the fault is removed. The same watch on a new connection is answered at
	// once.
	is := is.New(t)
	kv := startKV(t, KVConfig{})
	kv.SetFaults(KVFaults{SilentWatches: true})
	swap(t, kv, wire.KVSwapRequest{Key: "a"})
	_, err := newTestClient(t, silenceWindow).send(kv.Addr(), wire.RouteKVWatch, wire.KVWatchRequest{}, nil)
	is.True(err != nil)
	kv.SetFaults(KVFaults{})
	is.Equal(len(watch(t, kv, wire.KVWatchRequest{}).Events), 1)
}
