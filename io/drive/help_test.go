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
	teamName = "wash"
	patience = 20 * time.Second
)

// upstream answers in memory.
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

// nobody watches.
type nobody struct{}

func (nobody) Replied(view.ServerID, wire.UpstreamLoad, wire.Refusal) {}
func (nobody) Failed(view.ServerID, string)                           {}

// noForward has no other VMs.
type noForward struct{}

func (noForward) Run(context.Context, ticket.Issuer, wire.SearchRequest) (wire.SearchAnswer, error) {
	return wire.SearchAnswer{}, context.Canceled
}

// hits are made ahead, so that a benchmark does not count them.
var hits = func() []wire.Hit {
	out := make([]wire.Hit, 300)
	for i := range out {
		out[i].Member = fmt.Sprint("m", i)
	}
	return out
}()

// reply is a whole answer of one shard.
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

// rig is a driver over upstreams in memory.
type rig struct {
	tb      testing.TB
	dr      *drive.Driver
	mt      *meter.Meter
	workers *ants.Pool
}

type rigConfig struct {
	shards  int
	workers int
	up      *upstream
	forward drive.Forwarder
	tickets ticket.Config
	search  team.Search
	// more are further searches by name.
	more   map[string]team.Search
	bucket func(string) *share.Bucket
	// bare leaves the view empty, as on a VM without configuration.
	bare bool
	// upOf gives each server its own upstream in place of up.
	upOf func(view.ServerID) *upstream
}

func newRig(tb testing.TB, cfg rigConfig) *rig {
	tb.Helper()
	is := is.New(tb)
	vw := view.View{}
	if !cfg.bare {
		vw = viewOf(cfg)
	}
	table := pick.New(pick.Config{DataCentre: "east"})
	table.Grow(vw.Len())
	workers, err := ants.NewPool(cfg.workers, ants.WithNonblocking(true))
	is.NoErr(err)
	tb.Cleanup(workers.Release)
	if cfg.forward == nil {
		cfg.forward = noForward{}
	}
	if cfg.upOf == nil {
		cfg.upOf = func(view.ServerID) *upstream { return cfg.up }
	}
	ri := &rig{tb: tb, mt: meter.New(), workers: workers}
	ri.dr = drive.New(drive.Config{
		View:        func() *view.View { return &vw },
		Upstream:    func(id view.ServerID) drive.Upstream { return cfg.upOf(id) },
		Table:       table,
		Workers:     workers,
		Forward:     cfg.forward,
		Observe:     nobody{},
		Meter:       ri.mt,
		Tickets:     cfg.tickets,
		Incarnation: max(1, cfg.tickets.Incarnation),
		MaxDeadline: time.Minute,
		Bucket:      cfg.bucket,
	})
	return ri
}

func viewOf(cfg rigConfig) view.View {
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
	for name, other := range cfg.more {
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
		HardDeadlineMs: patience.Milliseconds(),
		HitLimit:       5,
		Hedge:          team.Hedge{Quantile: 0.99, Budget: 0.03, MinDelayMs: 100},
		Retry:          team.Retry{Budget: 0.1, PerShard: 2},
	}
}

func searchRequest() wire.SearchRequest {
	return wire.SearchRequest{Team: teamName, Search: "s", Query: json.RawMessage(`{"plate":"AAA-000"}`)}
}
