package emul

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

func TestFleet(t *testing.T) {
	// The replicas of a shard are in different data centres, and after a repartition both
	// snapshots can be searched completely.
	is := is.New(t)
	rg, err := SampleRegister("members", 1, 200)
	is.NoErr(err)
	fl, err := NewFleet(FleetConfig{Register: rg, Services: 3, DataCentres: []string{"dc1", "dc2", "dc3"}})
	is.NoErr(err)
	defer fl.Close()
	is.Equal(len(fl.Servers()), 9)
	first := fl.Current()
	second, err := fl.Publish(5)
	is.NoErr(err)

	for _, sn := range []*Snapshot{first, second} {
		members := 0
		for sh := range sn.Shards {
			dcs := map[string]bool{}
			for _, sv := range fl.Replicas(sh) {
				rq := newShardRequest("s")
				rq.Shard = sh
				rq.Snapshot = sn.Version
				ry, _, err := search(t, sv.Upstream, rq)
				is.NoErr(err)
				is.Equal(ry.Refusal, wire.Refusal(""))
				is.Equal(ry.Shards, sn.Shards)
				dcs[sv.DataCentre] = true
				members += len(ry.Hits)
			}
			is.Equal(len(dcs), 3)
		}
		is.Equal(members, 3*200) // each member once on each replica
	}
	is.Equal(fl.RunsOf(findAll)[4], 3) // only the second snapshot has a shard 4
	is.Equal(fl.Runs(), uint64(3*(3+5)))

	_, err = NewFleet(FleetConfig{Register: rg, Services: 1})
	is.True(err != nil) // no data centres
}
