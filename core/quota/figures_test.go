package quota_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"laburnumvane/core/plan"
)

// perVM is the usual number of requests per second of a fleet, divided by its VMs.
const perVM = 120.0 / 68

// BenchmarkFleet gives the figures of docs/design/quota.md: what the chosen design and one owner for
// each account refuse, exceed and cost at usual rates, while nothing fails (calm), while one data
// centre is cut off for 5 s of 15 (cut), and after a large VM was lost (lost).
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ vms, centres int }{{8, 3}, {68, 3}, {300, 3}, {4300, 13}} {
		for _, accounts := range []int{76, 20_000} {
			for _, design := range []string{"holders", "owner"} {
				for _, what := range []string{"calm", "cut", "lost"} {
					b.Run(fmt.Sprintf("%d VMs/%d accounts/%s/%s", size.vms, accounts, design, what), func(b *testing.B) {
						for range b.N {
							figures(b, size.vms, size.centres, accounts, design == "owner", what)
						}
					})
				}
			}
		}
	}
}

func figures(b *testing.B, vms, centres, count int, oneOwner bool, what string) {
	b.Helper()
	const begin, warm, end = 3 * second, 8 * second, 23 * second
	accounts, usual := powerLaw(count, perVM*float64(vms))
	fl := emptyFleet(1, centres, accounts)
	fl.shared, fl.oneOwner = map[string]*plan.View{}, oneOwner
	fl.fill(vms)
	for i, ac := range accounts {
		fl.load(ac.Name, usual[i], nil, end)
	}
	fl.run(warm)
	fl.total = tally{}
	for _, sv := range fl.vms {
		sv.calls = 0
	}
	switch what {
	case "cut":
		for other := 1; other < centres; other++ {
			fl.cutOff(0, other)
		}
	case "lost":
		fl.kill(fl.vms[0])
	}
	fl.run(end)
	over := math.Inf(-1)
	for _, ac := range accounts {
		over = max(over, fl.excess(ac, begin))
	}
	most := 0
	for _, sv := range fl.vms {
		most = max(most, sv.calls)
	}
	ta := fl.total
	slices.Sort(ta.waits)
	sum, p99 := 0.0, 0.0
	for _, wait := range ta.waits {
		sum += float64(wait) / float64(ms)
		p99 = float64(ta.waits[len(ta.waits)*99/100]) / float64(ms)
	}
	seconds := (end - warm).Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(1000*float64(ta.falsely)/float64(ta.asked), "refused‰")
	b.ReportMetric(over, "over")
	b.ReportMetric(float64(ta.calls)*2/seconds/float64(vms), "messages/VM/s")
	b.ReportMetric(float64(most)/seconds, "busiest/s")
	b.ReportMetric(float64(len(ta.waits))/float64(ta.asked), "waited")
	b.ReportMetric(sum/max(1, float64(len(ta.waits))), "ms-wait")
	b.ReportMetric(p99, "ms-p99")
}
