package costs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"laburnumvane/core/pick"
	"laburnumvane/core/team"
	"laburnumvane/core/ticket"
	"laburnumvane/core/view"
	"laburnumvane/io/drive"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

const (
	teamName    = "wash"
	register    = "members"
	waitTimeout = 20 * time.Second
	workers     = 4096
)

// ignoreObserver ignores what replies report about servers.
type ignoreObserver struct{}

func (ignoreObserver) ObserveReply(view.ServerID, wire.UpstreamLoad, wire.Refusal) {}
func (ignoreObserver) ObserveFailure(view.ServerID, string)                        {}

// noForwarder fails every forwarded search: there is no other VM.
type noForwarder struct{}

func (noForwarder) Run(context.Context, ticket.Issuer, wire.SearchRequest) (wire.SearchAnswer, error) {
	return wire.SearchAnswer{}, context.Canceled
}

// newDriver returns a driver with one server per shard, each with its own connections and all at the
// same address.
func newDriver(tb testing.TB, addr string, shards, hits int) *drive.Driver {
	tb.Helper()
	is := is.New(tb)
	vw := viewOf(shards, hits)
	servers := make([]*upst.Server, shards)
	for i := range servers {
		servers[i] = upst.New(upst.Config{Addr: addr, MaxConns: 2})
		tb.Cleanup(servers[i].Close)
	}
	table := pick.New(pick.Config{DataCentre: "east"})
	table.Grow(vw.Len())
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	is.NoErr(err)
	tb.Cleanup(pool.Release)
	return drive.New(drive.Config{
		View:        func() *view.View { return &vw },
		Upstream:    func(id view.ServerID) drive.Upstream { return servers[id] },
		Table:       table,
		Workers:     pool,
		Forward:     noForwarder{},
		Observe:     ignoreObserver{},
		Meter:       meter.New(),
		Incarnation: 1,
		MaxDeadline: time.Minute,
	})
}

// viewOf returns a view with a snapshot whose version is its number of shards. The peer process learns
// the number of shards from the version.
func viewOf(shards, hits int) view.View {
	servers := make([]view.Server, shards)
	sn := view.Snapshot{Version: uint64(shards), Replicas: make([][]view.ServerID, shards)}
	for i := range servers {
		id := view.ServerID(i)
		servers[i] = view.Server{ID: id, DataCentre: "east", State: view.StateServing, Incarnation: 1}
		sn.Replicas[i] = []view.ServerID{id}
	}
	search := team.Search{
		Register:       register,
		HardDeadlineMs: waitTimeout.Milliseconds(),
		HitLimit:       hits,
		Hedge:          team.Hedge{Quantile: 0.99, Budget: 0.03, MinDelayMs: 1000},
		Retry:          team.Retry{Budget: 0.1, PerShard: 2},
	}
	doc := team.Document{Team: teamName, Searches: map[string]team.Search{"s": search}}
	key := view.RegisterKey{Team: teamName, Register: register}
	return view.View{}.
		WithServers(servers).
		WithTeam(view.Team{Revision: 1, Document: doc}).
		WithRegisters(map[view.RegisterKey]view.Register{key: {Snapshots: []view.Snapshot{sn}}})
}

func searchRequest() wire.SearchRequest {
	return wire.SearchRequest{Team: teamName, Search: "s", Query: json.RawMessage(`{"plate":"QKD-4821"}`)}
}

// BenchmarkExchange measures the whole cost of a sub-request in this VM, connections included:
// decisions, encoding, both system calls, decoding and merging, but not the callers' side.
func BenchmarkExchange(b *testing.B) {
	for _, shards := range []int{10, 270} {
		for _, hits := range []int{1, 10} {
			b.Run(fmt.Sprintf("shards=%d/hits=%d", shards, hits), func(b *testing.B) {
				ad := startPeer(b)
				dr := newDriver(b, ad.Upstream, shards, hits)
				ctx := context.Background()
				run := func() {
					if an := dr.Search(ctx, searchRequest()); an.Outcome != wire.OutcomeComplete {
						b.Fatal(an.Outcome, an.Reason)
					}
				}
				run() // opens the connections
				b.ReportAllocs()
				cm := startMeter(b, ad)
				for b.Loop() {
					run()
				}
				cm.report(b, "sub", b.N*shards)
			})
		}
	}
}

// BenchmarkDecodeReply measures decoding the JSON of one shard's reply, by its number of hits.
func BenchmarkDecodeReply(b *testing.B) {
	for _, hits := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("hits=%d", hits), func(b *testing.B) {
			raw, err := json.Marshal(shardReplyTo(wire.ShardRequest{ID: "1x2y3z.17.270", Shard: 17, Snapshot: 270, Limit: hits}))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var rp wire.ShardReply
				if err := json.Unmarshal(raw, &rp); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "wire-B/op")
		})
	}
}
