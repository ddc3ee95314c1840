package team_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/team"
)

func TestDocument_CanonicalRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		doc := drawDocument(rt)
		again, err := team.Parse("wash", doc.Canonical())
		is.NoErr(err)
		is.Equal(again, doc)
		is.Equal(string(again.Canonical()), string(doc.Canonical()))
	})
}

// Two goroutines share a document, and one makes a changed copy. The other must not see the
// change: a limit would change without a new revision. That would happen if copies shared a
// map or slice.
func TestDocument_WithCopies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		doc := drawDocument(rt)
		before := string(doc.Canonical())

		reg := doc.Registers["members"]
		svc := reg.Services["desk-0"].WithServers(team.Server{Addr: "10.9.9.9:1", DataCentre: "north"})
		sch := doc.Searches["search-0"].WithDeadlines(1, 2).WithHedge(team.Hedge{}).WithRetry(team.Retry{})
		changed := doc.
			WithLimits(team.Limits{Concurrent: 7}).
			WithSearch("search-0", sch).
			WithSearch("added", sch).
			WithRegister("members", reg.WithService("desk-0", svc))

		is.Equal(string(doc.Canonical()), before)
		is.True(string(changed.Canonical()) != before)
		is.Equal(len(changed.WithoutSearch("added").Searches), len(doc.Searches))
		is.Equal(string(changed.Canonical()), string(changed.WithLimits(changed.Limits).Canonical()))
	})
}

// drawDocument generates a document that Parse accepts.
func drawDocument(rt *rapid.T) team.Document {
	doc := team.Document{
		Version: team.FormatVersion,
		Team:    "wash",
		Limits: team.Limits{
			SearchesPerSecond: rapid.Float64Range(0, 1e6).Draw(rt, "searchesPerSecond"),
			Concurrent:        rapid.IntRange(0, 1e6).Draw(rt, "concurrent"),
		},
		Searches:  map[string]team.Search{},
		Registers: map[string]team.Register{"members": {Services: map[string]team.Service{}}},
	}
	for i := range rapid.IntRange(1, 5).Draw(rt, "searches") {
		doc.Searches[fmt.Sprintf("search-%d", i)] = drawSearch(rt)
	}
	for i := range rapid.IntRange(1, 4).Draw(rt, "services") {
		doc.Registers["members"].Services[fmt.Sprintf("desk-%d", i)] = drawService(rt, i)
	}
	// The tests change desk-0.
	doc.Registers["members"].Services["desk-0"] = drawService(rt, 9)
	return doc
}

func drawSearch(rt *rapid.T) team.Search {
	hard := rapid.Int64Range(2, 60_000).Draw(rt, "hard")
	sch := team.Search{
		Register:       "members",
		Class:          rapid.SampledFrom(team.Classes()).Draw(rt, "class"),
		SoftDeadlineMs: rapid.Int64Range(0, hard).Draw(rt, "soft"),
		HardDeadlineMs: hard,
		MinCoverage:    rapid.Float64Range(0, 1).Draw(rt, "minCoverage"),
		NeverRepeat:    rapid.Bool().Draw(rt, "neverRepeat"),
		HitLimit:       rapid.IntRange(1, 10_000).Draw(rt, "hitLimit"),
	}
	if !sch.NeverRepeat && rapid.Bool().Draw(rt, "hedged") {
		sch.Hedge = team.Hedge{
			Quantile:   rapid.Float64Range(0.5, 0.999).Draw(rt, "quantile"),
			Budget:     rapid.Float64Range(0.001, 0.2).Draw(rt, "hedgeBudget"),
			MinDelayMs: rapid.Int64Range(0, hard-1).Draw(rt, "minDelay"),
		}
	}
	if rapid.Bool().Draw(rt, "retried") {
		sch.Retry = team.Retry{
			Budget:   rapid.Float64Range(0.001, 0.5).Draw(rt, "retryBudget"),
			PerShard: rapid.IntRange(1, 8).Draw(rt, "perShard"),
		}
	}
	return sch
}

func drawService(rt *rapid.T, net int) team.Service {
	slots := rapid.IntRange(1, 100).Draw(rt, "slots")
	svc := team.Service{
		SlotsPerServer:       slots,
		ConnectionsPerServer: rapid.IntRange(slots, 1000).Draw(rt, "connections"),
	}
	for i := range rapid.IntRange(1, 3).Draw(rt, "servers") {
		svc.Servers = append(svc.Servers, team.Server{Addr: fmt.Sprintf("10.0.%d.%d:9000", net, i), DataCentre: "north"})
	}
	return svc
}
