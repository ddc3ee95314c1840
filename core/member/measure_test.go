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

// needMeasure leaves the measurements to those who ask for them: they print
// figures and decide nothing.
func needMeasure(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement, run with -measure")
	}
}

// settled is a fleet in which all know all.
func settled(t *testing.T, seed uint64, n, dataCentres int, loss float64) (*world, []*proc) {
	wo := newWorld(seed, loss)
	prs := wo.fleet(t, n, dataCentres)
	wo.settle()
	wo.run(15*time.Second, nil)
	return wo, prs
}

func quantiles(ds []time.Duration) string {
	slices.Sort(ds)
	at := func(q float64) time.Duration {
		return ds[min(len(ds)-1, int(q*float64(len(ds))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%v | %v | %v", at(0.5), at(0.99), ds[len(ds)-1].Round(time.Millisecond))
}

// TestMeasureDetection kills one VM silently and measures until the last living
// VM of its data centre holds it for gone.
func TestMeasureDetection(t *testing.T) {
	needMeasure(t)
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
				took = append(took, detect(t, uint64(seed), n, loss, nil))
			}
			fmt.Printf("| %d | %v%% | %d | %s |\n", n, loss*100, seeds, quantiles(took))
		}
	}
}

func detect(t *testing.T, seed uint64, n int, loss float64, with func(*member.Config)) time.Duration {
	// One more data centre, so that a VM left alone still hears someone.
	wo := newWorld(seed, loss)
	wo.with = with
	var prs []*proc
	for i := range n {
		prs = append(prs, wo.boot(t, addrOf(i), "dc00", 1000))
	}
	wo.boot(t, addrOf(n), "dc01", 1000)
	wo.list(wo.vms()...)
	wo.settle()
	wo.run(5*time.Second+time.Duration(wo.rnd.Int64N(int64(time.Second))), nil)
	victim := prs[wo.rnd.IntN(n)]
	victim.dead = true
	at := wo.Now()
	left := map[*proc]bool{}
	for _, pr := range prs {
		// At extreme settings it may have been given up before it died.
		mb, _ := stateAt(pr, victim.self.Addr)
		if pr != victim && mb.State() != member.StateGone {
			left[pr] = true
		}
	}
	wo.onAct = func(pr *proc, ac member.Action) {
		if ch, ok := ac.(member.Changed); ok && ch.Member.Addr == victim.self.Addr && ch.Member.State() == member.StateGone {
			delete(left, pr)
		}
	}
	if !wo.run(time.Minute, func() bool { return len(left) == 0 }) {
		t.Errorf("seed %d, %d VMs, loss %v: not known everywhere after a minute", seed, n, loss)
	}
	return wo.Now() - at
}

// TestMeasureNews lets one VM announce its stop and measures until all of its
// data centre, and all of the fleet, have heard. What rides on beats spreads the
// same way: each VM that it is new to kicks.
func TestMeasureNews(t *testing.T) {
	needMeasure(t)
	fmt.Println("| VMs | data centres | out of turn | loss | runs | data centre: p50 | p99 | max | fleet: p50 | p99 | max |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct {
		n, dataCentres, seeds int
		burst                 float64
	}{
		{9, 3, 200, 0}, {100, 4, 50, 0}, {330, 1, 20, 0}, {1000, 13, 5, 0},
		// With no beats out of turn left, as after many news in a row.
		{9, 3, 200, 0.01}, {100, 4, 50, 0.01}, {330, 1, 20, 0.01},
	} {
		for _, loss := range []float64{0.01, 0.05} {
			var near, far []time.Duration
			for seed := range size.seeds {
				a, b := newsTime(t, uint64(seed), size.n, size.dataCentres, loss, func(cfg *member.Config) { cfg.EagerBurst = size.burst })
				near, far = append(near, a), append(far, b)
			}
			fmt.Printf("| %d | %d | %v | %v%% | %d | %s | %s |\n", size.n, size.dataCentres, size.burst == 0, loss*100, size.seeds, quantiles(near), quantiles(far))
		}
	}
}

func newsTime(t *testing.T, seed uint64, n, dataCentres int, loss float64, with func(*member.Config)) (near, far time.Duration) {
	wo := newWorld(seed, loss)
	wo.with = with
	prs := wo.fleet(t, n, dataCentres)
	wo.settle()
	wo.run(15*time.Second, nil)
	teller := prs[wo.rnd.IntN(n)]
	left := map[*proc]bool{}
	nearLeft := 0
	for _, pr := range prs {
		left[pr] = true
		if pr.self.DataCentre == teller.self.DataCentre {
			nearLeft++
		}
	}
	at := wo.Now()
	wo.onAct = func(pr *proc, ac member.Action) {
		ch, ok := ac.(member.Changed)
		if !ok || ch.Member.Addr != teller.self.Addr || !left[pr] {
			return
		}
		delete(left, pr)
		if pr.self.DataCentre == teller.self.DataCentre {
			nearLeft--
		}
		if nearLeft == 0 && near == 0 {
			near = wo.Now() - at
		}
	}
	wo.step(teller, member.Leave{})
	if !wo.run(time.Minute, func() bool { return len(left) == 0 }) {
		t.Errorf("seed %d, %d VMs: %d never heard", seed, n, len(left))
	}
	return near, wo.Now() - at
}

// TestMeasureFalseAlarms lets healthy fleets run and counts what is said of
// them: suspicions, and VMs given up.
func TestMeasureFalseAlarms(t *testing.T) {
	needMeasure(t)
	fmt.Println("| VMs of the data centre | loss | VM hours | suspicions by any VM | given up |\n| --- | --- | --- | --- | --- |")
	for _, n := range []int{3, 10, 100} {
		for _, loss := range []float64{0.01, 0.05, 0.1, 0.2} {
			fa := alarms(t, n, loss, nil)
			fmt.Printf("| %d | %v%% | %.0f | %d | %d |\n", n, loss*100, fa.hours, fa.suspicions, fa.gone)
		}
	}
}

// falseAlarms counts what is said of healthy VMs.
type falseAlarms struct {
	hours            float64
	suspicions, gone int
}

func alarms(t *testing.T, n int, loss float64, with func(*member.Config)) falseAlarms {
	var fa falseAlarms
	for seed := range 4 {
		wo := newWorld(uint64(100+seed), loss)
		wo.with = with
		wo.fleet(t, n, 1)
		wo.settle()
		wo.run(15*time.Second, nil)
		wo.onAct = func(_ *proc, ac member.Action) {
			ch, ok := ac.(member.Changed)
			if ok && ch.Member.State() == member.StateSuspect {
				fa.suspicions++
			}
			if ok && ch.Member.State() == member.StateGone {
				fa.gone++
			}
		}
		d := time.Duration(100/n+1) * 4 * time.Minute
		wo.run(d, nil)
		fa.hours += float64(n) * d.Hours()
	}
	return fa
}

// TestMeasureOperatingPoints varies how long a suspected VM has to refute, and
// whether helpers are asked, at a loss at which both kinds of error show.
func TestMeasureOperatingPoints(t *testing.T) {
	needMeasure(t)
	const n, loss = 10, 0.2
	fmt.Println("| helpers | time to refute | detection p50 | p99 | max | VM hours | suspicions | given up |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, helpers := range []int{-1, 1, 3} {
		for _, refute := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
			with := func(cfg *member.Config) { cfg.Helpers, cfg.SuspicionTimeout = helpers, refute }
			var took []time.Duration
			for seed := range 100 {
				took = append(took, detect(t, uint64(seed), n, loss, with))
			}
			fa := alarms(t, n, loss, with)
			fmt.Printf("| %d | %v | %s | %.0f | %d | %d |\n", max(0, helpers), refute, quantiles(took), fa.hours, fa.suspicions, fa.gone)
		}
	}
}

// TestMeasureHealing cuts one data centre off for a minute, during which VMs are
// replaced everywhere, and measures until all agree again.
func TestMeasureHealing(t *testing.T) {
	needMeasure(t)
	fmt.Println("| VMs | data centres | replaced meanwhile | loss | runs | p50 | p99 | max |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ n, dataCentres, replaced, seeds int }{
		{9, 3, 1, 40}, {100, 4, 10, 20}, {1000, 13, 5, 2}, {1000, 13, 100, 1},
	} {
		var took []time.Duration
		for seed := range size.seeds {
			took = append(took, heal(t, uint64(seed), size.n, size.dataCentres, size.replaced, 0.01))
		}
		fmt.Printf("| %d | %d | %d | 1%% | %d | %s |\n", size.n, size.dataCentres, size.replaced, size.seeds, quantiles(took))
	}
}

func heal(t *testing.T, seed uint64, n, dataCentres, replaced int, loss float64) time.Duration {
	wo, prs := settled(t, seed, n, dataCentres, loss)
	wo.cut = func(from, to *proc) bool { return (from.self.DataCentre == "dc00") != (to.self.DataCentre == "dc00") }
	for i := 0; i < n; i += n / replaced {
		wo.boot(t, prs[i].self.Addr, prs[i].self.DataCentre, 2000)
	}
	wo.list(wo.vms()...)
	wo.run(time.Minute, nil)
	wo.cut = func(_, _ *proc) bool { return false }
	at := wo.Now()
	next := at
	for !wo.agree() {
		next += 250 * time.Millisecond
		wo.run(next-wo.Now(), nil)
		if wo.Now()-at > 5*time.Minute {
			t.Errorf("seed %d, %d VMs: not agreed after 5 minutes", seed, n)
			break
		}
	}
	return wo.Now() - at
}

// TestMeasureCost lets fleets of several sizes run, at rest and with VMs being
// replaced all the time, and counts what each VM sends, receives and does.
func TestMeasureCost(t *testing.T) {
	needMeasure(t)
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
		cost(t, size.n, size.dataCentres, size.churn, size.d)
	}
}

func cost(t *testing.T, n, dataCentres int, churn bool, d time.Duration) {
	before := heapInUse()
	wo, prs := settled(t, 1, n, dataCentres, 0.01)
	perVM := (heapInUse() - before) / float64(n)
	for _, pr := range prs {
		pr.sent, pr.got, pr.steps = 0, 0, 0
	}
	replaced := 0
	begun := time.Now()
	end := wo.Now() + d
	for wo.Now() < end {
		if churn {
			pr := prs[wo.rnd.IntN(n)]
			wo.boot(t, pr.self.Addr, pr.self.DataCentre, uint64(2000+replaced)).ma.Step(wo.Now(), member.Listed{VMs: wo.vms()})
			wo.step(wo.procs[pr.self.Addr], member.Tick{})
			replaced++
		}
		wo.run(time.Second, nil)
	}
	busy := time.Since(begun)
	sent, got, steps, most := 0, 0, 0, 0
	for _, pr := range wo.order {
		sent += pr.sent
		got += pr.got
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
