package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
	"laburnumvane/core/route"
)

func newTable() *route.Table {
	return route.New(route.Config{
		Version: 3,
		Routes: []route.Route{
			{Name: "root", Host: "a.example", Prefix: "/", Priority: 2},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Priority: 1},
			{Name: "flat", Host: "a.example", Prefix: "/x/", Priority: 2},
			{Name: "again", Host: "a.example", Prefix: "/x/", Priority: 0},
			{Name: "other", Host: "b.example", Prefix: "/x/", Priority: 2},
		},
		Services: []route.Service{{Name: "s1", MaxConnections: 31}},
	})
}

func TestMatch(t *testing.T) {
	cases := []struct {
		name, host, path, want string
	}{
		{"longest prefix", "a.example", "/x/y/z", "deep"},
		{"path equal to the prefix", "a.example", "/x/y/", "deep"},
		{"path without the trailing slash", "a.example", "/x/y", "flat"},
		{"root prefix only", "a.example", "/q", "root"},
		{"first of two equal prefixes", "a.example", "/x/q", "flat"},
		{"host with a port", "a.example:8080", "/x/q", "flat"},
		{"host in upper case", "A.Example", "/x/q", "flat"},
		{"prefix of another host", "b.example", "/x/y/z", "other"},
		{"no matching prefix", "b.example", "/q", ""},
		{"unknown host", "c.example", "/x/", ""},
		{"empty path", "a.example", "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rt, ok := newTable().Match(tc.host, tc.path)
			is.Equal(ok, tc.want != "")
			if ok {
				is.Equal(rt.Name, tc.want)
			}
		})
	}
}

func TestMinParts(t *testing.T) {
	cases := []struct {
		shards   int
		coverage float64
		want     int
	}{
		{10, 0.89, 9},
		{10, 0.75, 8},
		{10, 0.7, 7},
		{15, 0.89, 14},
		{36, 0.95, 35},
		{36, 0.85, 31},
		{4, 0, 1},
		{4, 1, 4},
	}
	for _, tc := range cases {
		is := is.New(t)
		ga := route.Gather{Shards: make([]string, tc.shards), MinCoverage: tc.coverage}
		is.Equal(ga.MinParts(), tc.want)
	}
}

// Everything that decides how a request is handled must change the digest, or a VM would
// handle a forwarded request by another version of the route than the sender's. Other changes
// of the configuration must not change it, or VMs would briefly reject each other's requests
// with each new version.
func TestDigest(t *testing.T) {
	gather := func(shards ...string) route.Route {
		return route.Route{Name: "r", Host: "h", Prefix: "/", Gather: &route.Gather{Shards: shards, Limit: 5, MinCoverage: 0.9}}
	}
	digest := func(version uint64, rt route.Route) uint64 {
		return route.New(route.Config{Version: version, Routes: []route.Route{rt}}).Routes()[0].Digest()
	}
	split := func(change func(rt *route.Route)) route.Route {
		rt := route.Route{Name: "r", Host: "h", Prefix: "/", Split: []route.Share{{Service: "a", Weight: 1}}}
		change(&rt)
		return rt
	}
	unchanged := func(*route.Route) {}
	cases := []struct {
		name string
		a, b route.Route
		same bool
	}{
		{"same shards", gather("s1", "s2"), gather("s1", "s2"), true},
		{"different shards", gather("s1", "s2"), gather("t1", "t2"), false},
		{"additional shard", gather("s1"), gather("s1", "s2"), false},
		{"same service", split(unchanged), split(unchanged), true},
		{"different name", split(unchanged), split(func(rt *route.Route) { rt.Name = "q" }), true},
		{"different service", split(unchanged), split(func(rt *route.Route) { rt.Split = []route.Share{{Service: "b", Weight: 1}} }), false},
		{"different weight", split(unchanged), split(func(rt *route.Route) { rt.Split = []route.Share{{Service: "a", Weight: 2}} }), false},
		{"different timeout", split(unchanged), split(func(rt *route.Route) { rt.Timeout = 5 }), false},
		{"public", split(unchanged), split(func(rt *route.Route) { rt.Public = true }), false},
		{"idempotent", split(unchanged), split(func(rt *route.Route) { rt.Idempotent = true }), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(digest(3, tc.a) == digest(7, tc.b), tc.same)
			is.True(digest(3, tc.a) != 0)
		})
	}
}

// VMs of the previous build run beside this one and do not know Public. The digests that they give
// to routes must stay the same, or no request would be forwarded during the roll-out.
func TestDigestOfPreviousBuild(t *testing.T) {
	for _, tc := range []struct {
		rt   route.Route
		want uint64
	}{
		{route.Route{
			Name: "search", Host: "a.example", Prefix: "/search/", Idempotent: true, Timeout: 2 * time.Second, Target: 400 * time.Millisecond,
			Priority: 1, MaxAttempts: 2, Gather: &route.Gather{Shards: []string{"s0", "s1"}, Limit: 5, MinCoverage: 0.75},
		}, 14602701438216312699},
		{route.Route{
			Name: "ledger", Host: "a.example", Prefix: "/ledger/", Timeout: time.Second, Priority: 2, MaxAttempts: 2,
			Split: []route.Share{{Service: "ledger", Weight: 1}}, Regions: []string{"home"},
		}, 15901301138794124899},
	} {
		is := is.New(t)
		is.Equal(route.New(route.Config{Routes: []route.Route{tc.rt}}).Routes()[0].Digest(), tc.want)
	}
}

// A request must be given the best admission level if its account has the best priority of all, also
// where no route has it.
func TestBestPriority(t *testing.T) {
	for _, tc := range []struct {
		name     string
		accounts []acct.Account
		want     int
	}{
		{"no accounts", nil, 1},
		{"account without priority", []acct.Account{{Name: "a"}}, 1},
		{"more urgent account", []acct.Account{{Name: "a", HasPriority: true}}, 0},
		{"less urgent account", []acct.Account{{Name: "a", HasPriority: true, Priority: 5}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			accounts, err := acct.New(acct.Config{Accounts: tc.accounts})
			is.NoErr(err)
			tb := route.New(route.Config{Routes: []route.Route{{Prefix: "/a/", Priority: 3}, {Prefix: "/b/", Priority: 1}}, Accounts: accounts})
			is.Equal(tb.BestPriority(), tc.want)
		})
	}
}

func TestDraw(t *testing.T) {
	is := is.New(t)
	rt := route.Route{Split: []route.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	count := map[string]int{}
	const draws = 1000
	for i := range draws {
		name, ok := rt.Draw(float64(i) / draws)
		is.True(ok)
		count[name]++
	}
	is.Equal(count["a"], 750)
	is.Equal(count["b"], 250)
	name, ok := rt.Draw(1)
	is.True(ok)
	is.Equal(name, "b")
	_, ok = (&route.Route{}).Draw(0)
	is.True(!ok)
}

func TestTable(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	is.Equal(tb.Version(), uint64(3))
	is.Equal(len(tb.Routes()), 4)
	is.Equal(tb.BestPriority(), 1)
	sv, ok := tb.Service("s1")
	is.True(ok)
	is.Equal(sv.MaxConnections, 31)
	changed := tb.WithLimits(route.Limits{BodyBytes: 5})
	is.Equal(changed.Limits().BodyBytes, 5)
	is.Equal(tb.Limits().BodyBytes, 0)
}

// The cost of Match must not grow with the number of routes: only the positions of slashes in
// the path are tried.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1400} {
		cfg := route.Config{}
		for i := range n {
			cfg.Routes = append(cfg.Routes, route.Route{Host: "a.example", Prefix: "/p" + string(rune('a'+i%26)) + "/" + string(rune('a'+i/26)) + "/"})
		}
		tb := route.New(cfg)
		b.Run(map[bool]string{true: "few", false: "many"}[n == 10], func(b *testing.B) {
			for range b.N {
				tb.Match("a.example", "/pa/a/2f")
			}
		})
	}
}
