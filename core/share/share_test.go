package share_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/share"
)

const rounding = 1e-9

// The sum of the shares of all VMs never exceeds the limit, whatever the changes of the
// demand and the delays of messages; neither during a partition shorter than ForgetAfter, nor
// after it.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, fleetSize).Draw(rt, "vms")
		fl := newFleet(n, share.Limit{Rate: 100}, rapid.Uint64().Draw(rt, "seed"))
		fl.maxDelay = time.Duration(rapid.IntRange(0, 900).Draw(rt, "way")) * time.Millisecond
		demand := make([]float64, n)
		fl.offered = func(i int) float64 { return demand[i] }
		for range rapid.IntRange(1, 12).Draw(rt, "phases") {
			for i := range demand {
				demand[i] = rapid.SampledFrom([]float64{0, 1, 10, 100, 1000}).Draw(rt, "demand")
			}
			side := rapid.IntRange(0, n-1).Draw(rt, "cut")
			oneWay := rapid.Bool().Draw(rt, "one way")
			loss := rapid.IntRange(0, 40).Draw(rt, "loss")
			fl.blocked = func(from, to int) bool {
				if fl.rnd.IntN(100) < loss {
					return true
				}
				if side == 0 || oneWay && from >= side {
					return false
				}
				return (from < side) != (to < side)
			}
			for range rapid.IntRange(1, 90).Draw(rt, "tenths") {
				fl.tick()
				if sum := fl.shareSum(); sum > 1+rounding {
					rt.Fatalf("shares sum to %v at %v", sum, fl.now)
				}
			}
			// The partitions are shorter than ForgetAfter. The next test covers longer ones.
			fl.blocked = func(int, int) bool { return false }
			fl.run(2 * time.Second)
		}
	})
}

// If k VMs are partitioned for longer than ForgetAfter, the remaining ones divide the limit
// and the others keep at most an even share each: the sum is at most 1 + k/N, less than
// 1.5.
func TestSharesAreBoundedInALongPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, fleetSize).Draw(rt, "vms")
		k := rapid.IntRange(1, n-1).Draw(rt, "cut off")
		fl := newFleet(n, share.Limit{Rate: 100}, rapid.Uint64().Draw(rt, "seed"))
		demand := make([]float64, n)
		for i := range demand {
			demand[i] = rapid.SampledFrom([]float64{0, 1, 10, 100, 1000}).Draw(rt, "demand")
		}
		fl.offered = func(i int) float64 { return demand[i] }
		fl.run(10 * time.Second)
		fl.blocked = func(from, to int) bool { return (from < k) != (to < k) }
		minor := min(k, n-k)
		if 2*minor == n {
			minor = 0 // neither side has more than half
		}
		for range 450 {
			fl.tick()
			if sum := fl.shareSum(); sum > 1+float64(minor)/float64(n)+rounding {
				rt.Fatalf("shares sum to %v at %v with %d of %d partitioned", sum, fl.now, k, n)
			}
		}
		fl.blocked = func(int, int) bool { return false }
		fl.run(12 * time.Second)
		if sum := fl.shareSum(); sum > 1+rounding {
			rt.Fatalf("shares sum to %v after the partition", sum)
		}
	})
}

// A team gets nearly its whole limit and at most 5 % more, however its searches are
// distributed over the VMs: shares in proportion to demand use the whole limit.
func TestSteadyState(t *testing.T) {
	for _, rows := range []struct {
		name   string
		demand [fleetSize]float64
	}{
		{"even", [fleetSize]float64{50, 50, 50, 50, 50, 50, 50, 50, 50}},
		{"one hot", [fleetSize]float64{400, 5, 5, 5, 5, 5, 5, 5, 5}},
		{"two hot", [fleetSize]float64{200, 200}},
		{"100 times the limit", [fleetSize]float64{3000, 3000, 3000, 200, 200, 200, 200, 100, 100}},
	} {
		t.Run(rows.name, func(t *testing.T) {
			is := is.New(t)
			fl := newFleet(fleetSize, share.Limit{Rate: 100}, 1)
			fl.offered = func(i int) float64 { return rows.demand[i] }
			fl.run(15 * time.Second)
			fl.takeAdmitted()
			fl.run(20 * time.Second)
			rate := float64(fl.takeAdmitted()) / 20
			t.Logf("%.1f searches per second of 100; shares sum to %.3f", rate, fl.shareSum())
			is.True(rate <= 105)
			is.True(rate >= 85)
		})
	}
}

// All demand moves to one VM. Searches beyond its old share are refused until it has
// announced its higher demand for two Windows. Without this wait, the sum of the shares
// would exceed the limit until all others have lowered theirs.
func TestHotVMRaisesItsShareAfterAWait(t *testing.T) {
	for _, cfg := range []share.Config{{}, {Window: 11 * time.Second, MaxDelay: 4 * time.Second}} {
		testHotVM(t, cfg)
	}
}

func testHotVM(t *testing.T, cfg share.Config) {
	is := is.New(t)
	fl := newFleetWith(cfg, fleetSize, share.Limit{Rate: 100}, 2)
	hot := false
	fl.offered = func(i int) float64 {
		switch {
		case !hot:
			return 10
		case i == 4:
			return 90
		}
		return 0
	}
	fl.run(40 * time.Second)
	hot = true
	moved := fl.now
	waits := make(map[float64]time.Duration)
	for fl.now < moved+60*time.Second {
		fl.tick()
		for _, part := range []float64{0.5, 0.8, 0.9} {
			if _, ok := waits[part]; !ok && fl.vms[4].mc.Share(team) >= part {
				waits[part] = fl.now - moved
			}
		}
		is.True(fl.shareSum() <= 1+rounding)
	}
	window := max(cfg.Window, 3*time.Second)
	t.Logf("window %v: the hot VM had half of the limit after %v, 80%% after %v, 90%% after %v", window, waits[0.5], waits[0.8], waits[0.9])
	is.True(waits[0.5] > 0 && waits[0.5] <= 2*window+2*time.Second)
}

// One VM of nine crashes. Its share, a ninth of the limit, is unused until it has been
// silent for ForgetAfter, since until then it may only be partitioned and still use its
// share. Then the others get it.
func TestDeadVM(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleetSize, share.Limit{Rate: 90}, 3)
	fl.offered = func(int) float64 { return 20 }
	fl.run(15 * time.Second)
	fl.vms[0].down = true
	fl.run(20 * time.Second)
	frozen := fl.shareSum()
	fl.run(20 * time.Second)
	divided := fl.shareSum()
	t.Logf("shares of the remaining eight: %.3f before Forget, %.3f after it", frozen, divided)
	is.True(frozen >= 0.85 && frozen <= 1+rounding)
	is.True(divided >= 0.98 && divided <= 1+rounding)
}

// One VM is partitioned from all others, and its demand grows tenfold. It continues with
// its last share, which it must not raise without hearing from all others, and after
// ForgetAfter has at most an even share.
func TestCutOffVM(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleetSize, share.Limit{Rate: 90}, 4)
	load := 15.0
	fl.offered = func(i int) float64 {
		if i == 0 {
			return load
		}
		return 15
	}
	fl.run(15 * time.Second)
	before := fl.vms[0].mc.Share(team)
	fl.blocked = func(from, to int) bool { return from == 0 || to == 0 }
	load = 150
	fl.run(3 * time.Second) // until it misses the others
	kept := fl.vms[0].mc.Share(team)
	t.Logf("share before the partition %.4f, kept %.4f", before, kept)
	is.True(kept <= 1.02*before && kept >= 0.98*before)
	for range 100 {
		fl.tick()
		is.True(fl.vms[0].mc.Share(team) <= kept+rounding)
	}
	is.True(fl.vms[0].mc.Share(team) >= kept/2)
	fl.run(40 * time.Second)
	is.True(fl.vms[0].mc.Share(team) <= 1.0/fleetSize+rounding)
}

// New VMs admit searches from the first second with an even share, knowing only the VM
// list. If all VMs restarted at once, even shares sum to the limit; a single new VM adds
// at most one even share until the others have heard from it.
func TestNewVMs(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleetSize, share.Limit{Rate: 90}, 5)
	fl.offered = func(int) float64 { return 20 }
	for range 30 {
		fl.tick()
		is.True(fl.shareSum() <= 1+rounding)
	}
	is.True(fl.takeAdmitted() >= 200)
	fl.run(12 * time.Second)
	fl.addVM()
	for range 100 {
		fl.tick()
		is.True(fl.shareSum() <= 1+1.0/(fleetSize+1)+rounding)
	}
	fl.run(10 * time.Second)
	is.True(fl.shareSum() <= 1+rounding)
}

// The clock is set back by an hour and forward by hours. A step back counts as no time
// and a bucket holds at most one burst, so that there are neither tokens beyond the burst
// nor a debt.
func TestClockSteps(t *testing.T) {
	is := is.New(t)
	mc := share.New(share.Config{Self: share.VM{Addr: "a"}})
	mc.Members(time.Hour, nil)
	bucket := mc.Limit(time.Hour, team, share.Limit{Rate: 40})
	take := func(now time.Duration) int {
		n := 0
		for {
			if re, _ := bucket.Take(now); re != "" {
				return n
			}
			bucket.Release()
			n++
		}
	}
	is.True(take(2*time.Hour) <= 10)
	is.Equal(take(time.Hour), 0)                       // back
	is.Equal(take(2*time.Hour+50*time.Millisecond), 2) // as without the step back
	is.True(take(9*time.Hour) <= 10)                   // forward
	mc.Step(time.Hour)
	is.Equal(mc.Share(team), 1.0)
}

// A team's searches in flight on all VMs stay within its limit, plus at most one for each
// VM, since a VM whose share is less than one search may run one.
func TestConcurrent(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleetSize, share.Limit{Concurrent: 20}, 6)
	fl.run(15 * time.Second)
	started := 0
	for _, vm := range fl.vms {
		for {
			re, after := vm.bucket.Take(fl.now)
			if re != "" {
				is.Equal(re, share.ReasonConcurrent)
				is.True(after > 0)
				break
			}
			started++
		}
	}
	is.True(started >= fleetSize && started <= 20+fleetSize)
}
