package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// throttle lets a VM run for a tenth of each 100 ms only, as the kernel does once the VM's share of
// processor time is used up.
func (fl *fleet) throttle(sv *simVM, until time.Duration) {
	sv.frozenUntil = fl.Now() + 90*ms
	fl.After(100*ms, func() {
		if fl.Now() < until {
			fl.throttle(sv, until)
		}
	})
}

// A VM that is no holder must not refuse with noLimitHolder while the holders are only slow, or while it
// was throttled itself and has not read their replies, unless the time of its request is used up.
func TestThrottledVMsAreReachable(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// holders is how many of the six holders are throttled.
		holders int
		callers bool
		target  time.Duration
		// most is how many of 1,000 requests within the limit may be refused: tokens of throttled holders
		// do not reach the others in time.
		most int
	}{
		{"one holder", 1, false, 40 * ms, 15}, {"three holders", 3, false, 150 * ms, 60}, {"all holders", 6, false, 150 * ms, 200},
		{"callers", 0, true, 40 * ms, 2}, {"three holders and callers", 3, true, 250 * ms, 40}, {"all", 6, true, 250 * ms, 200},
		{"all holders, short target", 6, false, 40 * ms, 600},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var sum tally
			for seed := range *seeds {
				accounts, usual := powerLaw(76, 120)
				fl := newFleet(uint64(seed), 68, 3, accounts)
				fl.target = tc.target
				fl.run(3 * second)
				small := fl.vms[2*fl.centres:]
				throttled := fl.vms[:tc.holders:tc.holders]
				if tc.callers {
					throttled = append(throttled, small...)
				}
				for _, sv := range throttled {
					fl.After(fl.upTo(100*ms), func() { fl.throttle(sv, 20*second) })
				}
				for i, ac := range accounts {
					fl.load(ac.Name, usual[i], small, 20*second)
				}
				fl.run(21 * second)
				for _, ac := range accounts {
					is.True(fl.excess(ac, 0) <= 0)
				}
				sum.add(fl.total)
			}
			t.Log(sum)
			is.Equal(sum.early, 0)
			if tc.target > 100*ms {
				is.True(sum.unreachable*100 <= sum.asked) // the target is longer than a pause
			}
			is.True(sum.falsely*1000 <= sum.asked*tc.most)
		})
	}
}
