package plan_test

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// Tests the decision whether a data centre that is cut off can keep answering: it depends on
// how many shards have a server there and on how many shards an answer needs.
func TestLocalServersSufficeByShards(t *testing.T) {
	cases := []struct {
		name     string
		near     int
		leaving  bool
		coverage float64
		alone    bool
	}{
		{"local servers of all shards", 10, false, 1, true},
		{"one shard without a local server", 9, false, 0.89, true},
		{"two shards without a local server", 8, false, 0.89, false},
		{"all local servers leaving", 10, true, 0.1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var names []string
			var ups []*origin.Upstream
			for i := range 10 {
				name := string(rune('a' + i))
				names = append(names, name)
				ups = append(ups, &origin.Upstream{ID: name + "-far", Service: name, DataCentre: "far"})
				if i < tc.near {
					ups = append(ups, &origin.Upstream{ID: name, Service: name, DataCentre: "here", Leaving: tc.leaving})
				}
			}
			vw := plan.New(plan.Config{
				Self:      rank.VM{Addr: "vm", DataCentre: "here"},
				Upstreams: origin.New(ups),
				Routes: route.New(route.Config{Routes: []route.Route{
					{Name: "all", Host: "h", Prefix: "/", Gather: &route.Gather{Shards: names, MinCoverage: tc.coverage}},
				}}),
			})
			is.Equal(vw.LocalServersSuffice(), tc.alone)
		})
	}
}
