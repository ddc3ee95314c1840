package member_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"laburnumvane/core/member"
)

var measure = flag.Bool("measure", false, "print the figures of docs/measures/fleet.md; takes minutes")

// skipUnlessMeasuring skips measurements by default: they print figures and check little.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement, run with -measure")
	}
}

// settled returns a fleet in which every VM knows every other.
func settled(t *testing.T, seed uint64, n, dataCentres int, loss float64) (*simulation, []*proc) {
	sim := newSimulation(seed, loss)
	prs := sim.fleet(t, n, dataCentres)
	sim.settle()
	sim.run(15*time.Second, nil)
	return sim, prs
}

func quantiles(ds []time.Duration) string {
	slices.Sort(ds)
	at := func(q float64) time.Duration {
		return ds[min(len(ds)-1, int(q*float64(len(ds))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%v | %v | %v", at(0.5), at(0.99), ds[len(ds)-1].Round(time.Millisecond))
}

// TestMeasureDetection crashes one VM and measures the time until the last live VM of its data
// centre considers it gone.
func TestMeasureDetection(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("| VMs of the data centre | loss | deaths | p50 | p99 | max |\n| --- | --- | --- | --- | --- | --- |")
	for _, n := range []int{2, 3, 10, 50, 330} {
		for _, loss := range []float64{0, 0.01, 0.05, 0.1} {
			seeds := 200
			if n >= 50 {
				seeds = 40
			}
			if n >= 300 {
				seeds = 4
			}
			var took []time.Duration
			for seed := range seeds {
				took = append(took, measureDetection(t, uint64(seed), n, loss, nil))
			}
			fmt.Printf("| %d | %v%% | %d | %s |\n", n, loss*100, seeds, quantiles(took))
		}
	}
}

func measureDetection(t *testing.T, seed uint64, n int, loss float64, configure func(*member.Config)) time.Duration {
	// One more data centre, so that a VM left alone still receives messages.
	sim := newSimulation(seed, loss)
	sim.configure = configure
	var prs []*proc
	for i := range n {
		prs = append(prs, sim.boot(t, addrOf(i), "dc00", 1000))
	}
	sim.boot(t, addrOf(n), "dc01", 1000)
	sim.setList(sim.vms()...)
	sim.settle()
	sim.run(5*time.Second+time.Duration(sim.rnd.Int64N(int64(time.Second))), nil)
	victim := prs[sim.rnd.IntN(n)]
	victim.dead = true
	at := sim.Now()
	remaining := map[*proc]bool{}
	for _, pr := range prs {
		// At extreme settings it may have been declared gone before it died.
		mb, _ := viewOf(pr, victim.self.Addr)
		if pr != victim && mb.State() != member.StateGone {
			remaining[pr] = true
		}
	}
	sim.onAction = func(pr *proc, ac member.Action) {
		if ch, ok := ac.(member.Changed); ok && ch.Member.Addr == victim.self.Addr && ch.Member.State() == member.StateGone {
			delete(remaining, pr)
		}
	}
	if !sim.run(time.Minute, func() bool { return len(remaining) == 0 }) {
		t.Errorf("seed %d, %d VMs, loss %v: death not known to all VMs after one minute", seed, n, loss)
	}
	return sim.Now() - at
}

// TestMeasureUpdates lets one VM announce its stop and measures the time until all VMs of its data
// centre, and of the fleet, have received the update. Other data piggybacked on beats spreads the
// same way, because each VM that receives something new steps its machine with a SendNow.
func TestMeasureUpdates(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("| VMs | data centres | urgent beats | loss | runs | data centre: p50 | p99 | max | fleet: p50 | p99 | max |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct {
		n, dataCentres, seeds int
		burst                 float64
	}{
		{9, 3, 200, 0}, {100, 4, 50, 0}, {330, 1, 20, 0}, {1000, 13, 5, 0},
		// With the allowance of urgent beats used up, as after many updates in a row.
		{9, 3, 200, 0.01}, {100, 4, 50, 0.01}, {330, 1, 20, 0.01},
	} {
		for _, loss := range []float64{0.01, 0.05} {
			var near, far []time.Duration
			for seed := range size.seeds {
				a, b := measureSpread(t, uint64(seed), size.n, size.dataCentres, loss, func(cfg *member.Config) { cfg.UrgentBurst = size.burst })
				near, far = append(near, a), append(far, b)
			}
			fmt.Printf("| %d | %d | %v | %v%% | %d | %s | %s |\n", size.n, size.dataCentres, size.burst == 0, loss*100, size.seeds, quantiles(near), quantiles(far))
		}
	}
}

func measureSpread(t *testing.T, seed uint64, n, dataCentres int, loss float64, configure func(*member.Config)) (near, far time.Duration) {
	sim := newSimulation(seed, loss)
	sim.configure = configure
	prs := sim.fleet(t, n, dataCentres)
	sim.settle()
	sim.run(15*time.Second, nil)
	leaver := prs[sim.rnd.IntN(n)]
	remaining := map[*proc]bool{}
	nearRemaining := 0
	for _, pr := range prs {
		remaining[pr] = true
		if pr.self.DataCentre == leaver.self.DataCentre {
			nearRemaining++
		}
	}
	at := sim.Now()
	sim.onAction = func(pr *proc, ac member.Action) {
		ch, ok := ac.(member.Changed)
		if !ok || ch.Member.Addr != leaver.self.Addr || !remaining[pr] {
			return
		}
		delete(remaining, pr)
		if pr.self.DataCentre == leaver.self.DataCentre {
			nearRemaining--
		}
		if nearRemaining == 0 && near == 0 {
			near = sim.Now() - at
		}
	}
	sim.step(leaver, member.Leave{})
	if !sim.run(time.Minute, func() bool { return len(remaining) == 0 }) {
		t.Errorf("seed %d, %d VMs: %d did not receive the update", seed, n, len(remaining))
	}
	return near, sim.Now() - at
}

// TestMeasureFalseAlarms runs healthy fleets and counts suspicions and VMs declared gone.
func TestMeasureFalseAlarms(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("| VMs of the data centre | loss | VM hours | suspicions by any VM | given up |\n| --- | --- | --- | --- | --- |")
	for _, n := range []int{3, 10, 100} {
		for _, loss := range []float64{0.01, 0.05, 0.1, 0.2} {
			fa := countFalseAlarms(t, n, loss, nil)
			fmt.Printf("| %d | %v%% | %.0f | %d | %d |\n", n, loss*100, fa.hours, fa.suspicions, fa.gone)
		}
	}
}

// falseAlarms counts the suspicions of healthy VMs and those declared gone.
type falseAlarms struct {
	hours            float64
	suspicions, gone int
}

func countFalseAlarms(t *testing.T, n int, loss float64, configure func(*member.Config)) falseAlarms {
	var fa falseAlarms
	for seed := range 4 {
		sim := newSimulation(uint64(100+seed), loss)
		sim.configure = configure
		sim.fleet(t, n, 1)
		sim.settle()
		sim.run(15*time.Second, nil)
		sim.onAction = func(_ *proc, ac member.Action) {
			ch, ok := ac.(member.Changed)
			if ok && ch.Member.State() == member.StateSuspect {
				fa.suspicions++
			}
			if ok && ch.Member.State() == member.StateGone {
				fa.gone++
			}
		}
		d := time.Duration(100/n+1) * 4 * time.Minute
		sim.run(d, nil)
		fa.hours += float64(n) * d.Hours()
	}
	return fa
}

// TestMeasureOperatingPoints varies the suspicion timeout and the number of helpers, at a loss
// rate at which both slow detection and false alarms occur.
func TestMeasureOperatingPoints(t *testing.T) {
	skipUnlessMeasuring(t)
	const n, loss = 10, 0.2
	fmt.Println("| helpers | time to refute | detection p50 | p99 | max | VM hours | suspicions | given up |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, helpers := range []int{-1, 1, 3} {
		for _, refute := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
			configure := func(cfg *member.Config) { cfg.Helpers, cfg.SuspicionTimeout = helpers, refute }
			var took []time.Duration
			for seed := range 100 {
				took = append(took, measureDetection(t, uint64(seed), n, loss, configure))
			}
			fa := countFalseAlarms(t, n, loss, configure)
			fmt.Printf("| %d | %v | %s | %.0f | %d | %d |\n", max(0, helpers), refute, quantiles(took), fa.hours, fa.suspicions, fa.gone)
		}
	}
}

// TestMeasureHealing partitions one data centre for a minute, replaces VMs everywhere meanwhile,
// and measures the time until all VMs agree again.
func TestMeasureHealing(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("| VMs | data centres | replaced meanwhile | loss | runs | p50 | p99 | max |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ n, dataCentres, replaced, seeds int }{
		{9, 3, 1, 40}, {100, 4, 10, 20}, {1000, 13, 5, 2}, {1000, 13, 100, 1},
	} {
		var took []time.Duration
		for seed := range size.seeds {
			took = append(took, measureHealing(t, uint64(seed), size.n, size.dataCentres, size.replaced, 0.01))
		}
		fmt.Printf("| %d | %d | %d | 1%% | %d | %s |\n", size.n, size.dataCentres, size.replaced, size.seeds, quantiles(took))
	}
}

func measureHealing(t *testing.T, seed uint64, n, dataCentres, replaced int, loss float64) time.Duration {
	sim, prs := settled(t, seed, n, dataCentres, loss)
	sim.blocked = func(from, to *proc) bool { return (from.self.DataCentre == "dc00") != (to.self.DataCentre == "dc00") }
	for i := 0; i < n; i += n / replaced {
		sim.boot(t, prs[i].self.Addr, prs[i].self.DataCentre, 2000)
	}
	sim.setList(sim.vms()...)
	sim.run(time.Minute, nil)
	sim.blocked = func(_, _ *proc) bool { return false }
	at := sim.Now()
	next := at
	for !sim.converged() {
		next += 250 * time.Millisecond
		sim.run(next-sim.Now(), nil)
		if sim.Now()-at > 5*time.Minute {
			t.Errorf("seed %d, %d VMs: no agreement after 5 minutes", seed, n)
			break
		}
	}
	return sim.Now() - at
}

// TestMeasureCost runs fleets of several sizes, at rest and with a constant rate of VM
// replacements, and reports the traffic, steps, processor time and memory of each VM.
func TestMeasureCost(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("| VMs | data centres | replaced/s | sent B/s, mean | sent B/s, most | received B/s, mean | steps/s, mean | core time/s, mean | heap per VM |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct {
		n, dataCentres int
		churn          bool
		d              time.Duration
	}{
		{9, 3, false, time.Minute},
		{9, 3, true, time.Minute},
		{100, 4, false, time.Minute},
		{100, 4, true, time.Minute},
		{1000, 13, false, 30 * time.Second},
		{1000, 13, true, 30 * time.Second},
		{4300, 13, false, 10 * time.Second},
		{4300, 13, true, 10 * time.Second},
	} {
		measureCost(t, size.n, size.dataCentres, size.churn, size.d)
	}
}

func measureCost(t *testing.T, n, dataCentres int, churn bool, d time.Duration) {
	before := heapInUse()
	sim, prs := settled(t, 1, n, dataCentres, 0.01)
	perVM := (heapInUse() - before) / float64(n)
	for _, pr := range prs {
		pr.sent, pr.received, pr.steps = 0, 0, 0
	}
	replaced := 0
	started := time.Now()
	end := sim.Now() + d
	for sim.Now() < end {
		if churn {
			pr := prs[sim.rnd.IntN(n)]
			sim.boot(t, pr.self.Addr, pr.self.DataCentre, uint64(2000+replaced)).ma.Step(sim.Now(), member.Listed{VMs: sim.vms()})
			sim.step(sim.procs[pr.self.Addr], member.Tick{})
			replaced++
		}
		sim.run(time.Second, nil)
	}
	busy := time.Since(started)
	sent, got, steps, most := 0, 0, 0, 0
	for _, pr := range sim.order {
		sent += pr.sent
		got += pr.received
		steps += pr.steps
		most = max(most, pr.sent)
	}
	all := float64(n) * d.Seconds()
	fmt.Printf("| %d | %d | %.1f | %.0f | %.0f | %.0f | %.1f | %v | %.0f kB |\n", n, dataCentres, float64(replaced)/d.Seconds(),
		float64(sent)/all, float64(most)/d.Seconds(), float64(got)/all, float64(steps)/all,
		time.Duration(float64(busy)/all).Round(time.Microsecond), perVM/1000)
}

func heapInUse() float64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}
