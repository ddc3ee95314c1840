package contr_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	_ "laburnumvane/internal/quiet"
	"laburnumvane/io/contr"
	"laburnumvane/io/emul"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, contr.LibraryGoroutines()...)
}

// testTimeout ends a test that hangs. No passing test depends on its value.
const testTimeout = 30 * time.Second

func TestEmulatedKV(t *testing.T) {
	contr.KV(t, func(t *testing.T) contr.KVService {
		kv := emul.NewKV(emul.KVConfig{SweepInterval: time.Millisecond})
		is.New(t).NoErr(kv.Start())
		t.Cleanup(kv.Close)
		return contr.KVService{Addr: kv.Addr(), Compact: kv.Compact}
	})
}

func TestEmulatedVMList(t *testing.T) {
	contr.VMList(t, func(t *testing.T) contr.VMListService {
		vs := emul.NewVMs(emul.VMsConfig{})
		is.New(t).NoErr(vs.Start())
		t.Cleanup(vs.Close)
		return contr.VMListService{Addr: vs.Addr(), Set: vs.Set, Remove: vs.Remove}
	})
}

func TestEmulatedUpstream(t *testing.T) {
	contr.Upstream(t, func(t *testing.T) contr.UpstreamServer {
		is := is.New(t)
		rg, err := emul.SampleRegister("members", 1, 40)
		is.NoErr(err)
		sn, err := rg.Snapshot(4)
		is.NoErr(err)
		st := &blockableService{}
		up := emul.NewUpstream(emul.UpstreamConfig{Slots: 1, Queue: 1, Service: st.serviceTime})
		is.NoErr(up.Start())
		t.Cleanup(up.Close)
		up.Hold(sn, []int{0, 2})
		return contr.UpstreamServer{
			Addr: up.Addr(), Register: "members", Snapshot: sn.Version, Shards: 4, Held: 2, NotHeld: 1,
			MatchAll: json.RawMessage(`{}`), SetState: up.SetState, Runs: up.Runs,
			Saturate: func(t *testing.T) func() { return saturate(t, up, st, sn.Version) },
		}
	})
}

// blockableService makes sub-requests last until they are cancelled, while blocked is set.
type blockableService struct{ blocked atomic.Bool }

func (st *blockableService) serviceTime(*rand.Rand) time.Duration {
	if st.blocked.Load() {
		return time.Hour
	}
	return 0
}

// saturate fills the server's only slot and its only place in the queue.
func saturate(t *testing.T, up *emul.Upstream, st *blockableService, snapshot uint64) func() {
	t.Helper()
	is := is.New(t)
	st.blocked.Store(true)
	cl := upst.New(upst.Config{Addr: up.Addr(), MaxConns: 4, DialTimeout: testTimeout})
	var waiting sync.WaitGroup
	for i := range 2 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			// The result does not matter here.
			_, _ = cl.Search(ctx, wire.ShardRequest{
				ID: fmt.Sprintf("busy.%d", i), Register: "members", Shard: 2, Snapshot: snapshot,
				DeadlineMs: testTimeout.Milliseconds(), Query: json.RawMessage(`{}`), Limit: 1,
			})
		}()
	}
	for up.Load().InFlight+up.Load().Queued < 2 {
		time.Sleep(time.Millisecond)
	}
	return func() {
		st.blocked.Store(false)
		// The client's own Cancel waits for an idle connection, and there may be none while both
		// are in use.
		for _, id := range []string{"busy.0", "busy.1"} {
			body := strings.NewReader(`{"id":"` + id + `"}`)
			rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+up.Addr()+wire.RouteShardCancel, body)
			is.NoErr(err)
			rq.Close = true
			rs, err := http.DefaultClient.Do(rq)
			is.NoErr(err)
			rs.Body.Close()
		}
		waiting.Wait()
		cl.Close()
	}
}

func TestUpstreamClient(t *testing.T) {
	contr.UpstreamClient(t, contr.UpstreamClientConfig{
		New: func(t *testing.T, addr string) contr.UpstreamCaller {
			sv := upst.New(upst.Config{Addr: addr, MaxConns: 4, DialTimeout: testTimeout})
			t.Cleanup(sv.Close)
			return sv
		},
		MayHaveSent: func(err error) bool {
			var ue *upst.Error
			return !errors.As(err, &ue) || ue.Sent
		},
	})
}
