package conns_test

import (
	"fmt"
	"testing"

	"laburnumvane/core/conns"
)

// BenchmarkJoin measures the time to compute all shares after a VM leaves or joins, incrementally
// and with a new planner. Each service has nine servers.
func BenchmarkJoin(b *testing.B) {
	for _, servers := range []int{10, 1_000, 32_000} {
		for _, vms := range []int{9, 100, 4_300} {
			all := vmsOf(vms, "a", "b", "c")
			var groups []conns.Group
			for i := range (servers + 8) / 9 {
				groups = append(groups, conns.Group{Service: fmt.Sprint("s", i), DataCentre: "a", Replicas: 9, Limit: 30})
			}
			b.Run(fmt.Sprintf("step/servers=%d/vms=%d", servers, vms), func(b *testing.B) {
				pl := newPlanner(all[0], all, false, groups...)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					pl.Apply(conns.Change{VM: all[3], Joined: i%2 == 1})
					shareAll(pl, groups)
				}
			})
			b.Run(fmt.Sprintf("rebuild/servers=%d/vms=%d", servers, vms), func(b *testing.B) {
				for range b.N {
					shareAll(newPlanner(all[0], all, false, groups...), groups)
				}
			})
		}
	}
}

var shareSum int

func shareAll(pl *conns.Planner, groups []conns.Group) {
	for id := range groups {
		for replica := range groups[id].Replicas {
			shareSum += pl.Share(conns.GroupID(id), replica)
		}
	}
}

// BenchmarkConnectionsAtMost computes the largest number of connections to one server, relative to
// its limit, with the planner and with two simple methods: each VM takes limit/N for the N VMs
// that it sees, and each VM takes the whole limit. A twentieth of the VMs, at least one, is
// missing from every view.
func BenchmarkConnectionsAtMost(b *testing.B) {
	for _, limit := range []int{25, 30, 100} {
		for _, n := range []int{9, 100, 330} {
			missing := max(1, n/20)
			if n == 330 {
				missing = conns.Reserve(limit)
			}
			b.Run(fmt.Sprintf("limit=%d/vms=%d/missing=%d", limit, n, missing), func(b *testing.B) {
				part, _ := conns.Split(limit, false)
				for range b.N {
					conns.Bound(part, n, missing, 0, 0)
				}
				b.ReportMetric(float64(conns.Bound(part, n, missing, 0, 0))/float64(limit), "plan/limit")
				b.ReportMetric(float64(n*max(1, limit/(n-missing)))/float64(limit), "staticShare/limit")
				b.ReportMetric(float64(n), "undivided/limit")
			})
		}
	}
}
