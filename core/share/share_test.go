package share_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/share"
)

const rounding = 1e-9

// The parts of all VMs never exceed the limit, whatever the demand does from
// second to second and however the messages' ways differ; nor while any of them
// are cut off from the others, up to Forget; nor when the cut heals.
func TestSumNeverExceeds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, fleet).Draw(rt, "vms")
		fl := newFleet(n, share.Limit{Rate: 100}, rapid.Uint64().Draw(rt, "seed"))
		fl.maxWay = time.Duration(rapid.IntRange(0, 900).Draw(rt, "way")) * time.Millisecond
		demand := make([]float64, n)
		fl.offered = func(i int) float64 { return demand[i] }
		for range rapid.IntRange(1, 12).Draw(rt, "phases") {
			for i := range demand {
				demand[i] = rapid.SampledFrom([]float64{0, 1, 10, 100, 1000}).Draw(rt, "demand")
			}
			side := rapid.IntRange(0, n-1).Draw(rt, "cut")
			oneWay := rapid.Bool().Draw(rt, "one way")
			loss := rapid.IntRange(0, 40).Draw(rt, "loss")
			fl.cut = func(from, to int) bool {
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
				if sum := fl.sum(); sum > 1+rounding {
					rt.Fatalf("parts sum to %v at %v", sum, fl.now)
				}
			}
			// Cuts shorter than Forget in all: the next test has the others.
			fl.cut = func(int, int) bool { return false }
			fl.run(2 * time.Second)
		}
	})
}

// With k VMs cut off for longer than Forget, those left divide the limit and
// the others keep at most an even part each: 1 + k/N together, under 1.5.
func TestSumBoundedWhenCutForLong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, fleet).Draw(rt, "vms")
		k := rapid.IntRange(1, n-1).Draw(rt, "cut off")
		fl := newFleet(n, share.Limit{Rate: 100}, rapid.Uint64().Draw(rt, "seed"))
		demand := make([]float64, n)
		for i := range demand {
			demand[i] = rapid.SampledFrom([]float64{0, 1, 10, 100, 1000}).Draw(rt, "demand")
		}
		fl.offered = func(i int) float64 { return demand[i] }
		fl.run(10 * time.Second)
		fl.cut = func(from, to int) bool { return (from < k) != (to < k) }
		minor := min(k, n-k)
		if 2*minor == n {
			minor = 0 // neither side has more than half
		}
		for range 450 {
			fl.tick()
			if sum := fl.sum(); sum > 1+float64(minor)/float64(n)+rounding {
				rt.Fatalf("parts sum to %v at %v with %d of %d cut off", sum, fl.now, k, n)
			}
		}
		fl.cut = func(int, int) bool { return false }
		fl.run(12 * time.Second)
		if sum := fl.sum(); sum > 1+rounding {
			rt.Fatalf("parts sum to %v after the cut", sum)
		}
	})
}

// What the caller sees: a team gets its whole limit and no more than 5% over,
// wherever its searches come in.
// All demand moves from VM to VM; the parts follow it.
// Why: parts in proportion to demand use the whole limit, and sum to it.
func TestSteadyState(t *testing.T) {
	for _, rows := range []struct {
		name   string
		demand [fleet]float64
	}{
		{"even", [fleet]float64{50, 50, 50, 50, 50, 50, 50, 50, 50}},
		{"one hot", [fleet]float64{400, 5, 5, 5, 5, 5, 5, 5, 5}},
		{"two hot", [fleet]float64{200, 200}},
		{"100 times the limit", [fleet]float64{3000, 3000, 3000, 200, 200, 200, 200, 100, 100}},
	} {
		t.Run(rows.name, func(t *testing.T) {
			is := is.New(t)
			fl := newFleet(fleet, share.Limit{Rate: 100}, 1)
			fl.offered = func(i int) float64 { return rows.demand[i] }
			fl.run(15 * time.Second)
			fl.admitted()
			fl.run(20 * time.Second)
			rate := float64(fl.admitted()) / 20
			t.Logf("%.1f a second of 100; parts sum to %.3f", rate, fl.sum())
			is.True(rate <= 105)
			is.True(rate >= 85)
		})
	}
}

// What the caller sees: on a VM that has become hot, searches over the old part
// are refused for some seconds, then admitted.
// All demand moves to one VM. It may raise its part once it has told its demand
// for a Window, so that all others have lowered theirs.
// Why: without the wait the sum would exceed the limit while the news travels.
func TestHotVMWaits(t *testing.T) {
	for _, cfg := range []share.Config{{}, {Window: 11 * time.Second, Way: 4 * time.Second}} {
		hotVMWaits(t, cfg)
	}
}

func hotVMWaits(t *testing.T, cfg share.Config) {
	is := is.New(t)
	fl := fleetWith(cfg, fleet, share.Limit{Rate: 100}, 2)
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
		is.True(fl.sum() <= 1+rounding)
	}
	window := max(cfg.Window, 3*time.Second)
	t.Logf("window %v: the hot VM had half of the limit after %v, 80%% after %v, 90%% after %v", window, waits[0.5], waits[0.8], waits[0.9])
	is.True(waits[0.5] > 0 && waits[0.5] <= 2*window+2*time.Second)
}

// What the caller sees: no VM refuses a team for long because another died.
// One VM of nine dies with a ninth of the limit; its part is unused until it
// has been silent for Forget, then the others have it.
// Why: until then it may just be cut off and still spend its part.
func TestDeadVM(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleet, share.Limit{Rate: 90}, 3)
	fl.offered = func(int) float64 { return 20 }
	fl.run(15 * time.Second)
	fl.vms[0].down = true
	fl.run(20 * time.Second)
	frozen := fl.sum()
	fl.run(20 * time.Second)
	divided := fl.sum()
	t.Logf("parts of the eight left: %.3f while the ninth may be cut off, %.3f later", frozen, divided)
	is.True(frozen >= 0.85 && frozen <= 1+rounding)
	is.True(divided >= 0.98 && divided <= 1+rounding)
}

// What the caller sees: a VM cut off from all others goes on admitting at its
// last part, and never at more than an even one for long.
// It hears nobody; its demand grows tenfold.
// Why: a part may only be raised by one who hears all others.
func TestCutOffVM(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleet, share.Limit{Rate: 90}, 4)
	load := 15.0
	fl.offered = func(i int) float64 {
		if i == 0 {
			return load
		}
		return 15
	}
	fl.run(15 * time.Second)
	before := fl.vms[0].mc.Share(team)
	fl.cut = func(from, to int) bool { return from == 0 || to == 0 }
	load = 150
	fl.run(3 * time.Second) // until it misses the others
	kept := fl.vms[0].mc.Share(team)
	t.Logf("part before the cut %.4f, kept %.4f", before, kept)
	is.True(kept <= 1.02*before && kept >= 0.98*before)
	for range 100 {
		fl.tick()
		is.True(fl.vms[0].mc.Share(team) <= kept+rounding)
	}
	is.True(fl.vms[0].mc.Share(team) >= kept/2)
	fl.run(40 * time.Second)
	is.True(fl.vms[0].mc.Share(team) <= 1.0/fleet+rounding)
}

// What the caller sees: searches are admitted from the first second after all
// VMs were restarted at once, and a single new VM admits from the first second.
// Each knows the VM list and nothing else, and takes an even part.
// Why: even parts sum to the limit where all are new; one that is new adds at
// most one even part until the others have heard of it.
func TestNewVMs(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleet, share.Limit{Rate: 90}, 5)
	fl.offered = func(int) float64 { return 20 }
	for range 30 {
		fl.tick()
		is.True(fl.sum() <= 1+rounding)
	}
	is.True(fl.admitted() >= 200)
	fl.run(12 * time.Second)
	fl.boot()
	for range 100 {
		fl.tick()
		is.True(fl.sum() <= 1+1.0/(fleet+1)+rounding)
	}
	fl.run(10 * time.Second)
	is.True(fl.sum() <= 1+rounding)
}

// What the caller sees: nothing. The clock handed in steps back by an hour and
// forth by one; no tokens appear but the burst, and none are owed.
// Why: a step back counts as no time, and a bucket holds a burst at most.
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
			bucket.Give()
			n++
		}
	}
	is.True(take(2*time.Hour) <= 10)
	is.Equal(take(time.Hour), 0)                       // back
	is.Equal(take(2*time.Hour+50*time.Millisecond), 2) // as if nothing had been
	is.True(take(9*time.Hour) <= 10)                   // forth
	mc.Step(time.Hour)
	is.Equal(mc.Share(team), 1.0)
}

// What the caller sees: a team's searches in flight stay within its limit over
// all VMs, give or take one for each VM with less than a whole place.
func TestConcurrent(t *testing.T) {
	is := is.New(t)
	fl := newFleet(fleet, share.Limit{Concurrent: 20}, 6)
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
	is.True(started >= fleet && started <= 20+fleet)
}
