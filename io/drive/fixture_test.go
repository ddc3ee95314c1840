package drive_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"laburnumvane/core/pick"
	"laburnumvane/core/share"
	"laburnumvane/core/team"
	"laburnumvane/core/ticket"
	"laburnumvane/core/view"
	"laburnumvane/io/drive"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

const (
	teamName    = "wash"
	testTimeout = 20 * time.Second
)

// upstream is an in-memory upstream server.
type upstream struct {
	answer func(rq wire.ShardRequest) (wire.ShardReply, error)
	cancel func(id string)
}

func (up *upstream) Search(_ context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	return up.answer(rq)
}

func (up *upstream) SearchOnce(_ context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	return up.answer(rq)
}

func (up *upstream) Cancel(id string) {
	if up.cancel != nil {
		up.cancel(id)
	}
}

// nopObserver ignores all results.
type nopObserver struct{}

func (nopObserver) ObserveReply(view.ServerID, wire.UpstreamLoad, wire.Refusal) {}
func (nopObserver) ObserveFailure(view.ServerID, string)                        {}

// nopForwarder fails to forward any search.
type nopForwarder struct{}

func (nopForwarder) Run(context.Context, ticket.Issuer, wire.SearchRequest) (wire.SearchAnswer, error) {
	return wire.SearchAnswer{}, context.Canceled
}

// hits are allocated in advance, so that benchmarks don't count them.
var hits = func() []wire.Hit {
	out := make([]wire.Hit, 300)
	for i := range out {
		out[i].Member = fmt.Sprint("m", i)
	}
	return out
}()

// reply returns a complete reply of one shard.
func reply(rq wire.ShardRequest, shards int) wire.ShardReply {
	return wire.ShardReply{
		ID:       rq.ID,
		Shard:    rq.Shard,
		Snapshot: rq.Snapshot,
		Shards:   shards,
		Hits:     hits[rq.Shard : rq.Shard+1],
		Load:     wire.UpstreamLoad{Incarnation: 1, State: wire.UpstreamServing},
	}
}

// fixture is a driver with in-memory upstreams.
type fixture struct {
	tb      testing.TB
	dr      *drive.Driver
	mt      *meter.Meter
	workers *ants.Pool
}

type fixtureConfig struct {
	shards  int
	workers int
	up      *upstream
	forward drive.Forwarder
	tickets ticket.Config
	search  team.Search
	// moreSearches are further searches by name.
	moreSearches map[string]team.Search
	bucket       func(string) *share.Bucket
	// noConfig leaves the view empty, as on a VM without configuration.
	noConfig bool
	// upOf returns the upstream of each server, in place of up.
	upOf func(view.ServerID) *upstream
}

func newFixture(tb testing.TB, cfg fixtureConfig) *fixture {
	tb.Helper()
	is := is.New(tb)
	vw := view.View{}
	if !cfg.noConfig {
		vw = viewOf(cfg)
	}
	table := pick.New(pick.Config{DataCentre: "east"})
	table.Grow(vw.Len())
	workers, err := ants.NewPool(cfg.workers, ants.WithNonblocking(true))
	is.NoErr(err)
	tb.Cleanup(workers.Release)
	if cfg.forward == nil {
		cfg.forward = nopForwarder{}
	}
	if cfg.upOf == nil {
		cfg.upOf = func(view.ServerID) *upstream { return cfg.up }
	}
	fx := &fixture{tb: tb, mt: meter.New(), workers: workers}
	fx.dr = drive.New(drive.Config{
		View:        func() *view.View { return &vw },
		Upstream:    func(id view.ServerID) drive.Upstream { return cfg.upOf(id) },
		Table:       table,
		Workers:     workers,
		Forward:     cfg.forward,
		Observe:     nopObserver{},
		Meter:       fx.mt,
		Tickets:     cfg.tickets,
		Incarnation: max(1, cfg.tickets.Incarnation),
		MaxDeadline: time.Minute,
		Bucket:      cfg.bucket,
	})
	return fx
}

func viewOf(cfg fixtureConfig) view.View {
	const replicas = 3
	servers := make([]view.Server, cfg.shards*replicas)
	sn := view.Snapshot{Version: 7, Replicas: make([][]view.ServerID, cfg.shards)}
	for i := range servers {
		servers[i] = view.Server{ID: view.ServerID(i), DataCentre: "east", State: view.StateServing, Incarnation: 1, Team: teamName, Register: "members", Service: fmt.Sprint(i / replicas)}
		sn.Replicas[i/replicas] = append(sn.Replicas[i/replicas], view.ServerID(i))
	}
	se := cfg.search
	se.Register = "members"
	doc := team.Document{Team: teamName, Searches: map[string]team.Search{"s": se}}
	for name, other := range cfg.moreSearches {
		other.Register = se.Register
		doc.Searches[name] = other
	}
	key := view.RegisterKey{Team: teamName, Register: "members"}
	return view.View{}.
		WithServers(servers).
		WithTeam(view.Team{Revision: 1, Document: doc}).
		WithRegisters(map[view.RegisterKey]view.Register{key: {Snapshots: []view.Snapshot{sn}}})
}

func kiosk() team.Search {
	return team.Search{
		HardDeadlineMs: testTimeout.Milliseconds(),
		HitLimit:       5,
		Hedge:          team.Hedge{Quantile: 0.99, Budget: 0.03, MinDelayMs: 100},
		Retry:          team.Retry{Budget: 0.1, PerShard: 2},
	}
}

func searchRequest() wire.SearchRequest {
	return wire.SearchRequest{Team: teamName, Search: "s", Query: json.RawMessage(`{"plate":"AAA-000"}`)}
}
