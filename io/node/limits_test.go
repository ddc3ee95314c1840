package node_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/team"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// An operator uses the status to see why searches start or not on a VM. A team with limits runs one
// search through one VM of two. The status must show half of the limits as the VM's share, held
// while the VM is new, an empty queue of the register, no extra work, and a limit for each server
// that was used.
func TestStatusShowsLimits(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 2, 0, func(cfg *site.Config) {
		cfg.Limits = team.Limits{SearchesPerSecond: 100, Concurrent: 20}
	})
	nd := st.Nodes()[0]
	limits := func() *wire.LimitsOfVM { return nd.Status().Limits }
	eventually(t, "half of the limits", func() bool { return limits().Teams[0].SearchesPerSecondPart == 50 })
	tl := limits().Teams[0]
	is.Equal(tl, wire.TeamLimit{
		Team: "wash", Share: 0.5, Held: true,
		SearchesPerSecond: 100, SearchesPerSecondPart: 50, Concurrent: 20, ConcurrentPart: 10,
	})
	is.Equal(len(limits().Queues), 0) // no search yet

	searchOnce(t, "http://"+nd.Addrs().Caller)
	lm := limits()
	is.Equal(lm.Queues, []wire.QueueOfVM{{Register: "wash/members"}})
	is.Equal(len(lm.Budgets), 1)
	is.Equal(lm.Budgets[0].Search, "wash/kiosk")
	is.True(lm.ExtraLeft > 0)
	met := 0
	for _, up := range nd.Status().Upstreams {
		if up.Limit > 0 {
			met++
		}
	}
	is.True(met >= 6) // one server of each service
	eventually(t, "connections within their plan", func() bool {
		for _, up := range nd.Status().Upstreams {
			if up.ConnectionPlan == 0 || up.Connections > up.ConnectionPlan {
				return false
			}
		}
		return true
	})
}

func searchOnce(t *testing.T, url string) {
	t.Helper()
	is := is.New(t)
	rp, err := http.Post(url+wire.RouteSearch, "application/json",
		strings.NewReader(`{"team":"wash","search":"kiosk","query":{"plate":"AAA-000"}}`))
	is.NoErr(err)
	defer rp.Body.Close()
	var an wire.SearchAnswer
	is.NoErr(json.NewDecoder(rp.Body).Decode(&an))
	is.Equal(an.Outcome, wire.OutcomeComplete)
}
