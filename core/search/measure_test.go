package search_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumvane/core/search/internal/qsim"
)

// deadline is both the soft and the hard deadline, so that no policy looks fast by
// answering without the slow shards.
const deadline = time.Second

// BenchmarkPolicy compares the policy in use with two baselines in virtual time.
// Only the reported metrics are meaningful: the time per operation is that of the
// simulation. The figures are recorded in docs/measures/search.md.
func BenchmarkPolicy(b *testing.B) {
	topologies := []struct {
		name     string
		topology qsim.Topology
		searches int
	}{
		{"pettigrew", qsim.Pettigrew(), 20000},
		{"kalimba", qsim.Kalimba(), 20000},
	}
	for _, tp := range topologies {
		for _, fault := range qsim.Faults() {
			for _, load := range []float64{0.3, 0.6, 0.85, 1.2} {
				name := fmt.Sprintf("%s/%s/load%.0f", tp.name, fault.Name, 100*load)
				benchPolicies(b, name, qsim.Config{Topology: tp.topology, Fault: fault, Load: load, Searches: tp.searches})
			}
		}
	}
}

// BenchmarkWide compares the policies for searches over 270 shards.
func BenchmarkWide(b *testing.B) {
	for _, fault := range qsim.Faults() {
		for _, load := range []float64{0.3, 0.6} {
			name := fmt.Sprintf("%s/load%.0f", fault.Name, 100*load)
			benchPolicies(b, name, qsim.Config{Topology: qsim.Wide(), Fault: fault, Load: load, Searches: 4000})
		}
	}
}

// BenchmarkOverload measures goodput at 1.0, 1.2 and 2 times the capacity, with and
// without a limit on searches in flight such as admission control sets.
func BenchmarkOverload(b *testing.B) {
	for _, inFlight := range []int{0, 12, 24, 36} {
		for _, load := range []float64{1, 1.2, 2} {
			name := fmt.Sprintf("inFlight%d/load%.0f", inFlight, 100*load)
			benchPolicies(b, name, qsim.Config{
				Topology: qsim.Pettigrew(), Load: load, Searches: 20000, MaxInFlight: inFlight,
			})
		}
	}
}

// BenchmarkLostWithBound crashes one replica of each shard while the searches in
// flight are limited as by admission control.
func BenchmarkLostWithBound(b *testing.B) {
	topologies := []struct {
		name     string
		topology qsim.Topology
	}{
		{"pettigrew", qsim.Pettigrew()},
		{"kalimba", qsim.Kalimba()},
	}
	for _, tp := range topologies {
		for _, inFlight := range []int{0, 8, 12, 18, 24} {
			name := fmt.Sprintf("%s/load60/inFlight%d", tp.name, inFlight)
			benchPolicies(b, name, qsim.Config{
				Topology: tp.topology, Fault: qsim.Faults()[3], Load: 0.6, Searches: 20000, MaxInFlight: inFlight,
			})
		}
	}
}

// BenchmarkSeeds runs one case with several seeds, to show how much of a difference
// is due to chance.
func BenchmarkSeeds(b *testing.B) {
	for seed := uint64(1); seed <= 5; seed++ {
		cfg := qsim.Config{Topology: qsim.Pettigrew(), Fault: qsim.Faults()[1], Load: 0.6, Searches: 20000, Seed: seed}
		benchPolicies(b, fmt.Sprintf("stragglers/load60/seed%d", seed), cfg)
	}
}

func benchPolicies(b *testing.B, name string, cfg qsim.Config) {
	cfg.Seed = max(cfg.Seed, 1)
	cfg.Soft, cfg.Hard = deadline, deadline
	cfg.MinCoverage = 1
	for _, policy := range []qsim.Policy{qsim.NoHedge(), qsim.Fixed10(), qsim.Tracked()} {
		cfg.Policy = policy
		b.Run(name+"/"+policy.Name, func(b *testing.B) {
			var rs qsim.Result
			for b.Loop() {
				rs = qsim.Run(cfg)
			}
			report(b, rs)
		})
	}
}

func report(b *testing.B, rs qsim.Result) {
	b.ReportMetric(rs.Quantile(50), "p50ms")
	b.ReportMetric(rs.Quantile(99), "p99ms")
	b.ReportMetric(rs.Quantile(99.9), "p99.9ms")
	b.ReportMetric(100*rs.Coverage(), "coverage%")
	b.ReportMetric(100*float64(rs.Complete)/float64(rs.Admitted), "whole%")
	b.ReportMetric(100*rs.Hedged(), "hedges%")
	b.ReportMetric(100*rs.Extra(), "extra%")
	b.ReportMetric(rs.Goodput(), "good/s")
	if testing.Verbose() {
		b.Log(rs.Reasons, "restarted", rs.Restarted)
	}
}
