package emul

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

func startStage(t *testing.T) (*Stage, *Admin) {
	t.Helper()
	is := is.New(t)
	rg, err := SampleRegister("members", 1, 40)
	is.NoErr(err)
	sg, err := NewStage(StageConfig{Fleet: FleetConfig{Register: rg, Services: 2, Replicas: 2, DataCentres: []string{"east", "west"}}})
	is.NoErr(err)
	t.Cleanup(sg.Close)
	ad := NewAdmin(sg.Admin())
	t.Cleanup(ad.Close)
	return sg, ad
}

// Faults requested through the admin API must reach the targeted servers and no others; an
// empty request removes them.
func TestAdminUpstreams(t *testing.T) {
	sg, ad := startStage(t)
	svs := sg.Fleet().Servers()
	one := svs[0]
	for _, tc := range []struct {
		rq          UpstreamFaultRequest
		targets     int
		state       wire.UpstreamState
		incarnation uint64
	}{
		{UpstreamFaultRequest{Target: one.Addr, Action: ActionDrain}, 1, wire.UpstreamDraining, 1},
		{UpstreamFaultRequest{Target: one.Service, Action: ActionCold}, 2, wire.UpstreamCold, 1},
		{UpstreamFaultRequest{Target: EveryUpstream, Action: ActionServe, Mute: true}, 4, wire.UpstreamServing, 1},
		{UpstreamFaultRequest{Target: one.Addr, Action: ActionCrash}, 1, wire.UpstreamServing, 1},
		{UpstreamFaultRequest{Target: one.Addr, Action: ActionRestart}, 1, wire.UpstreamServing, 2},
		{UpstreamFaultRequest{Target: EveryUpstream, SlowShare: 0.5, SlowTimes: 3}, 4, wire.UpstreamServing, 2},
		{UpstreamFaultRequest{Target: EveryUpstream}, 4, wire.UpstreamServing, 2},
	} {
		is := is.New(t)
		ry, err := ad.Upstream(t.Context(), tc.rq)
		is.NoErr(err)
		is.Equal(len(ry.Addrs), tc.targets)
		is.Equal(one.Upstream.Load().State, tc.state)
		is.Equal(one.Upstream.Load().Incarnation, tc.incarnation)
		is.Equal(one.Upstream.faults, faultsOf(tc.rq))
		other := svs[3].Upstream
		is.Equal(other.Load().Incarnation, uint64(1))
		if tc.targets < 4 {
			is.Equal(other.Load().State, wire.UpstreamServing)
		}
	}
	is := is.New(t)
	_, err := ad.Upstream(t.Context(), UpstreamFaultRequest{Target: "nobody"})
	is.True(err != nil)
	_, err = ad.Upstream(t.Context(), UpstreamFaultRequest{Target: one.Addr, Action: "explode"})
	is.True(err != nil)
}

func TestAdminKVAndVMs(t *testing.T) {
	is := is.New(t)
	sg, ad := startStage(t)
	is.NoErr(ad.KV(t.Context(), KVFaultRequest{Down: true, SlowMs: 5, LoseSwaps: true, SilentWatches: true, Past: true, Fail: true}))
	is.Equal(sg.kv.faults, KVFaults{Refuse: true, Fail: true, Slow: millis(5), LoseSwaps: true, SilentWatches: true, StaleReads: true})
	is.NoErr(ad.KV(t.Context(), KVFaultRequest{}))
	is.Equal(sg.kv.faults, KVFaults{})

	sg.kv.swap(wire.KVSwapRequest{Key: "a", Value: []byte("1")})
	is.NoErr(ad.KV(t.Context(), KVFaultRequest{Remember: true}))
	sg.kv.swap(wire.KVSwapRequest{Key: "b", Value: []byte("2")})
	is.NoErr(ad.KV(t.Context(), KVFaultRequest{Restore: true}))
	is.Equal(sg.kv.current.revision, uint64(1))
	is.Equal(len(sg.kv.current.pairs), 1)

	vm := wire.VM{Addr: "127.0.0.1:1", DataCentre: "east", State: wire.VMLive}
	is.NoErr(ad.VMs(t.Context(), VMsRequest{Set: []wire.VM{vm}}))
	is.NoErr(ad.VMs(t.Context(), VMsRequest{Leaving: []string{vm.Addr}}))
	ry, err := ad.Stage(t.Context())
	is.NoErr(err)
	is.Equal(ry.VMs, []wire.VM{{Addr: vm.Addr, DataCentre: vm.DataCentre, State: wire.VMLeaving}})
	is.Equal(ry.Admin, sg.Admin())
	is.NoErr(ad.VMs(t.Context(), VMsRequest{Remove: []string{vm.Addr}}))
	is.Equal(len(sg.vms.servedList()), 0)

	sn, err := ad.Snapshot(t.Context(), SnapshotRequest{Shards: 5})
	is.NoErr(err)
	is.Equal(sn, SnapshotReply{Snapshot: 2, Shards: 5})
	sn, err = ad.Snapshot(t.Context(), SnapshotRequest{})
	is.NoErr(err)
	is.Equal(sn, SnapshotReply{Snapshot: 3, Shards: 5})
	_, err = ad.Snapshot(t.Context(), SnapshotRequest{Shards: -1})
	is.True(err != nil)
}
