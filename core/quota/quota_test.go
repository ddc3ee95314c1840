package quota_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
)

// seeds is the number of runs of each simulated fleet; a higher number can be set by hand.
var seeds = flag.Int("seeds", 6, "runs of each simulated fleet")

// Requests within the limits must not be refused while all VMs work, wherever they arrive: a refused
// request is lost value for the client.
func TestUsualRatesAreServed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		vms, centres, through int
		// most is how many of 1,000 may be refused. In 13 data centres the holders of an account with 3
		// requests per second have half a token each, and those that it needs are not always found in time.
		most int
	}{{8, 3, 8, 1}, {68, 3, 68, 1}, {68, 3, 6, 1}, {68, 3, 1, 1}, {68, 3, 3, 1}, {60, 13, 60, 5}} {
		t.Run(fmt.Sprintf("%d VMs, %d data centres, through %d", tc.vms, tc.centres, tc.through), func(t *testing.T) {
			is := is.New(t)
			var sum tally
			for seed := range *seeds {
				accounts, usual := powerLaw(76, 120)
				fl := newFleet(uint64(seed), tc.vms, tc.centres, accounts)
				const lasts = 25 * second
				fl.run(3 * second)
				for i, ac := range accounts {
					fl.load(ac.Name, usual[i], fl.vms[:tc.through], 3*second+lasts)
				}
				fl.run(8 * second)
				fl.total = tally{}
				fl.run(4*second + lasts)
				for _, ac := range accounts {
					is.True(fl.excess(ac, 0) <= 0)
				}
				sum.add(fl.total)
			}
			t.Log(sum)
			is.True(sum.falsely*1000 <= sum.asked*tc.most) // too many refused within the limit
		})
	}
}

func (ta *tally) add(other tally) {
	ta.asked += other.asked
	ta.ideal += other.ideal
	ta.ran += other.ran
	ta.refused += other.refused
	ta.falsely += other.falsely
	ta.unreachable += other.unreachable
	ta.early += other.early
	ta.calls += other.calls
	ta.waits = append(ta.waits, other.waits...)
}

// String returns the counts and the mean wait of those that waited.
func (ta tally) String() string {
	slices.Sort(ta.waits)
	mean, p99 := 0.0, time.Duration(0)
	for _, wait := range ta.waits {
		mean += wait.Seconds() * 1000 / float64(len(ta.waits))
		p99 = ta.waits[len(ta.waits)*99/100]
	}
	return fmt.Sprintf("asked %d, ideal %d, ran %d, refused %d, falsely %d, unreachable %d (early %d), calls %d, waited %d for %.2f ms, 99 of 100 within %v",
		ta.asked, ta.ideal, ta.ran, ta.refused, ta.falsely, ta.unreachable, ta.early, ta.calls, len(ta.waits), mean, p99)
}

// Accounts send many times their usual rate through one VM, a few or all of them. The limit must be
// kept in every window, and what the limit allows must be used.
func TestOverloadKeepsLimit(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{5, 20, 60} {
		for _, through := range []int{1, 4, 68} {
			t.Run(fmt.Sprintf("%v times through %d", factor, through), func(t *testing.T) {
				is := is.New(t)
				var sum tally
				for seed := range *seeds {
					accounts, usual := powerLaw(76, 120)
					fl := newFleet(uint64(seed), 68, 3, accounts)
					fl.run(3 * second)
					for _, i := range []int{0, 9, 75} {
						from := fl.rnd.IntN(len(fl.vms) - through + 1)
						fl.load(accounts[i].Name, factor*usual[i], fl.vms[from:from+through], 18*second)
					}
					fl.run(19 * second)
					for _, i := range []int{0, 9, 75} {
						ac := accounts[i]
						is.True(fl.excess(ac, 0) <= 0)
						got := float64(len(fl.ran[ac.Name]))
						want := min(ac.Rate*15, factor*usual[i]*15)
						if got < 0.75*want-3 {
							t.Errorf("seed %d: account %d ran %v of %v", seed, i, got, want)
						}
					}
					sum.add(fl.total)
				}
				t.Log(sum)
				is.True(float64(sum.ran) >= 0.95*float64(sum.ideal)) // the limit is not used
			})
		}
	}
}

// fault makes something fail or recover. Each kind can make a limit be exceeded if parts are counted
// twice or tokens come into being.
func (fl *fleet) fault() {
	sv := fl.vms[fl.rnd.IntN(len(fl.vms))]
	large := fl.vms[fl.rnd.IntN(2*fl.centres)]
	kinds := []func(){
		func() { fl.kill(sv) },
		func() { // a holder is lost in a burst, and another one
			fl.kill(large)
			fl.After(fl.upTo(second), func() { fl.kill(fl.vms[fl.rnd.IntN(2*fl.centres)]) })
		},
		func() { large.frozenUntil = fl.Now() + fl.upTo(4*second) },
		func() { sv.frozenUntil = fl.Now() + fl.upTo(4*second) },
		func() { fl.cutOff(fl.rnd.IntN(fl.centres), fl.rnd.IntN(fl.centres)) },
		func() { // one is cut off from all others
			at := fl.rnd.IntN(fl.centres)
			for other := range fl.centres {
				fl.cutOff(at, other)
			}
		},
		func() {
			if fl.rnd.IntN(4) == 0 {
				for _, one := range fl.vms {
					fl.boot(one, fl.upTo(bootTime))
				}
			}
		},
		func() {
			if len(fl.vms) < 100 {
				one := fl.add(len(fl.vms))
				delete(fl.entries, one.vm.Addr)
				fl.boot(one, fl.upTo(bootTime))
			}
		},
		fl.reviveOne, fl.reviveOne, fl.reviveOne,
	}
	kinds[fl.rnd.IntN(len(kinds))]()
}

// cutOff cuts two data centres off from each other for 5 to 6 s.
func (fl *fleet) cutOff(a, b int) {
	if a == b {
		return
	}
	pair := [2]string{fmt.Sprint("dc", a), fmt.Sprint("dc", b)}
	fl.cut[pair] = true
	fl.After(5*second+fl.upTo(second), func() { delete(fl.cut, pair) })
}

func (fl *fleet) reviveOne() {
	for _, one := range fl.vms {
		if !one.running {
			fl.boot(one, fl.upTo(bootTime))
			return
		}
	}
}

// VMs are killed, restarted, added and frozen, and data centres cut off, while accounts exceed their
// limits. A restarted holder must not give out its burst again, nor a partition double a limit.
func TestFaultsKeepLimit(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ vms, centres int }{{8, 3}, {68, 3}, {40, 13}} {
		t.Run(fmt.Sprintf("%d VMs, %d data centres", tc.vms, tc.centres), func(t *testing.T) {
			is := is.New(t)
			var sum tally
			worst := math.Inf(-1)
			for seed := range *seeds {
				accounts, usual := powerLaw(76, 120)
				fl := newFleet(uint64(seed), tc.vms, tc.centres, accounts)
				fl.run(3 * second)
				busy := []int{0, 1, 9, 30, 75}
				for _, i := range busy {
					fl.load(accounts[i].Name, (3+57*fl.rnd.Float64())*usual[i], fl.vms[:1+fl.rnd.IntN(tc.vms)], 40*second)
				}
				for at := 4 * second; at < 40*second; at += second {
					fl.After(at-fl.Now()+fl.upTo(second), fl.fault)
				}
				fl.run(41 * second)
				for _, i := range busy {
					over := fl.excess(accounts[i], 0)
					worst = max(worst, over)
					if over > 0 {
						t.Errorf("seed %d: account %d exceeds its limit by %v of %v", seed, i, over, accounts[i].Rate*5+accounts[i].Burst)
					}
				}
				sum.add(fl.total)
			}
			t.Log("over the bound", worst, sum)
			is.True(sum.refused < sum.asked) // refusing everything would keep the limit too
		})
	}
}

// A limit is lowered, raised, removed and added while its account exceeds it, and the versions reach
// VMs at different times. From one window after the new version is in force the new limit holds.
func TestChangedLimits(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name          string
		before, after float64
	}{{"lowered", 55, 5}, {"raised", 5, 55}, {"added", 0, 20}, {"lowered slightly", 55, 40}, {"removed and added", 20, 20}} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range *seeds {
				ac := acct.Account{Name: "a", Rate: tc.before, Burst: tc.before}
				fl := newFleet(uint64(seed), 68, 3, []acct.Account{ac})
				fl.load("a", 400, fl.vms, 30*second)
				changed := 10*second + fl.upTo(second)
				fl.After(changed, func() { fl.setLimit(acct.Account{Name: "a", Rate: tc.after, Burst: tc.after}) })
				if tc.name == "removed and added" {
					fl.After(changed-2*second, func() { fl.setLimit(acct.Account{Name: "a"}) })
				}
				fl.run(31 * second)
				after := acct.Account{Name: "a", Rate: tc.after, Burst: tc.after}
				if over := fl.excess(after, changed+propagation); over > 0 {
					t.Errorf("seed %d: over by %v", seed, over)
				}
				if got := float64(len(fl.ran["a"])); got < 0.75*(tc.before*10+tc.after*19) {
					t.Errorf("seed %d: only %v ran", seed, got)
				}
			}
		})
	}
}
