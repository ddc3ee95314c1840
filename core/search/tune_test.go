package search_test

import (
	"fmt"
	"testing"

	"laburnumvane/core/search/internal/qsim"
)

// BenchmarkTuning varies one parameter of the policy at a time.
func BenchmarkTuning(b *testing.B) {
	faults := qsim.Faults()
	cases := []struct {
		name     string
		topology qsim.Topology
		fault    qsim.Fault
		load     float64
	}{
		{"stragglers60", qsim.Pettigrew(), faults[1], 0.6},
		{"stragglers85", qsim.Pettigrew(), faults[1], 0.85},
		{"slowServer60", qsim.Pettigrew(), faults[2], 0.6},
		{"silent60", qsim.Pettigrew(), faults[4], 0.6},
		{"none85", qsim.Pettigrew(), faults[0], 0.85},
		{"none120", qsim.Pettigrew(), faults[0], 1.2},
		{"wide60", qsim.Wide(), faults[1], 0.6},
	}
	for _, cs := range cases {
		searches := 20000
		if cs.topology.Shards > 10 {
			searches = 3000
		}
		for _, po := range variants() {
			b.Run(cs.name+"/"+po.Name, func(b *testing.B) {
				var rs qsim.Result
				for b.Loop() {
					rs = qsim.Run(qsim.Config{
						Topology: cs.topology, Fault: cs.fault, Load: cs.load, Searches: searches, Policy: po,
						Seed: 1, Soft: deadline, Hard: deadline, MinCoverage: 1,
					})
				}
				report(b, rs)
			})
		}
	}
}

func variants() []qsim.Policy {
	out := []qsim.Policy{qsim.Tracked()}
	vary := func(name string, change func(po *qsim.Policy)) {
		po := qsim.Tracked()
		po.Name = name
		change(&po)
		out = append(out, po)
	}
	for _, q := range []float64{0.95, 0.97, 0.99} {
		vary(fmt.Sprintf("quantile%v", q), func(po *qsim.Policy) { po.Quantile = q })
	}
	for _, times := range []float64{0, 2, 5} {
		vary(fmt.Sprintf("lost%v", times), func(po *qsim.Policy) { po.LostFactor = times })
	}
	for _, share := range []float64{0, 0.02, 0.1} {
		vary(fmt.Sprintf("retry%v", share), func(po *qsim.Policy) { po.RetryShare = share })
	}
	return out
}
