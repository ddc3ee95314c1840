package spread

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"laburnumvane/core/rank"
)

// The figures of docs/measures/config.md come from these benchmarks, each run
// once: go test -run '^$' -bench . -benchtime 1x ./core/spread

const (
	measureTeams    = 20
	measureChanges  = 60
	measureDocument = 6 << 10
	// measurePast is what a value in the service has beyond a document of that
	// size, in base64 as it travels; see BenchmarkEnvelope of core/change.
	measurePast = 9_200
	// changesPerSecond is 21,000 changes a day.
	changesPerSecond = 0.243
)

type size struct{ centres, each int }

func sizes() []size {
	return []size{{3, 3}, {4, 25}, {4, 250}, {13, 331}}
}

// measured is a run of changes through random VMs.
type measured struct {
	fl     *fleet
	took   []time.Duration
	length time.Duration
	missed int
	peak   int
	calls  int
	steps  int
	busy   time.Duration
}

func measure(fl *fleet) measured {
	fl.start()
	fl.run(30 * time.Second)
	for i := range measureTeams {
		fl.change(fl.vms[0], fmt.Sprint("team", i), fmt.Sprint("first", i), measureDocument)
	}
	fl.run(30 * time.Second)
	me := measured{fl: fl}
	fl.sv.perSec, fl.sv.calls, fl.steps, fl.busy = map[int]int{}, 0, 0, 0
	for _, v := range fl.vms {
		v.bytes = 0
	}
	begun := fl.Now()
	for i := range measureChanges {
		fl.run(time.Duration(fl.rnd.ExpFloat64() / changesPerSecond * float64(time.Second)))
		at := fl.Now()
		up := fl.change(fl.vms[fl.rnd.IntN(len(fl.vms))], fmt.Sprint("team", i%measureTeams), fmt.Sprint("c", i), measureDocument)
		fl.After(20*time.Second, func() { me.count(up, at) })
	}
	fl.run(25 * time.Second)
	me.length = fl.Now() - begun
	me.calls, me.steps, me.busy = fl.sv.calls, fl.steps, fl.busy
	for _, n := range fl.sv.perSec {
		me.peak = max(me.peak, n)
	}
	slices.Sort(me.took)
	return me
}

// count takes the times of one change. A VM that went straight to a later
// change of the team counts as missed only if it has none of them.
func (me *measured) count(up Update, at time.Duration) {
	for _, v := range me.fl.vms {
		done, ok := v.at[up.ChangeID]
		switch {
		case ok:
			me.took = append(me.took, done-at)
		case v.force[up.Team].Revision < up.Revision:
			me.missed++
		}
	}
}

func (me *measured) quantile(q float64) float64 {
	return me.took[int(q*float64(len(me.took)-1))].Seconds() * 1000
}

func (me *measured) report(b *testing.B) {
	perVM := float64(len(me.fl.vms)) * me.length.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(me.quantile(0.5), "ms-p50")
	b.ReportMetric(me.quantile(0.99), "ms-p99")
	b.ReportMetric(me.quantile(1), "ms-max")
	b.ReportMetric(float64(me.missed), "missed")
	b.ReportMetric(float64(me.calls)/me.length.Seconds(), "calls/s")
	b.ReportMetric(float64(me.peak), "calls-peak/s")
	sum, most := 0, 0
	for _, v := range me.fl.vms {
		sum += v.bytes
		most = max(most, v.bytes)
	}
	b.ReportMetric(float64(sum)/perVM, "B/VM/s")
	b.ReportMetric(float64(most)/me.length.Seconds(), "B/s-busiest-VM")
	b.ReportMetric(float64(me.steps)/perVM, "steps/VM/s")
	b.ReportMetric(100*me.busy.Seconds()/perVM, "%core/VM")
}

func BenchmarkInForce(b *testing.B) {
	for _, sz := range sizes() {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("vms=%d/ranked/seed=%d", sz.centres*sz.each, seed), func(b *testing.B) {
				benchmarkInForce(b, sz, seed, false)
			})
		}
		b.Run(fmt.Sprintf("vms=%d/everyVMWatches", sz.centres*sz.each), func(b *testing.B) {
			benchmarkInForce(b, sz, 0, true)
		})
	}
}

func benchmarkInForce(b *testing.B, sz size, seed uint64, baseline bool) {
	for b.Loop() {
		fl := newFleet(seed, sz.centres, sz.each)
		fl.link.Loss, fl.baseline, fl.past = 0.01, baseline, measurePast
		me := measure(fl)
		me.report(b)
	}
}

// BenchmarkHeal cuts a data centre off for ten minutes and 20 changes, and
// takes the time from the healing until the last VM has them all.
func BenchmarkHeal(b *testing.B) {
	for _, sz := range sizes() {
		b.Run(fmt.Sprintf("vms=%d", sz.centres*sz.each), func(b *testing.B) {
			for b.Loop() {
				fl := newFleet(4, sz.centres, sz.each)
				fl.link.Loss = 0.01
				fl.start()
				fl.run(20 * time.Second)
				fl.cut = func(a, b string) bool { return (a == "dc1") != (b == "dc1") }
				ups := make([]Update, 20)
				for i := range ups {
					ups[i] = fl.change(fl.vms[0], fmt.Sprint("team", i), fmt.Sprint("c", i), measureDocument)
					fl.run(30 * time.Second)
				}
				fl.cut = uncut
				healed := fl.Now()
				for !fl.haveAll(ups) && fl.Now() < healed+time.Minute {
					fl.run(50 * time.Millisecond)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric((fl.Now()-healed).Seconds()*1000, "ms-converged")
			}
		})
	}
}

func (fl *fleet) haveAll(ups []Update) bool {
	for _, up := range ups {
		if fl.holding(up) < len(fl.vms) {
			return false
		}
	}
	return true
}

// BenchmarkOutage takes the service away for an hour: what the fleet asks of it
// meanwhile, and in the busiest second after it is back. Only ranked VMs ask;
// 13 data centres have 26 of them however many VMs there are.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
		fl := newFleet(5, 13, 4)
		fl.start()
		fl.run(10 * time.Second)
		fl.change(fl.vms[0], "wash", "c1", measureDocument)
		fl.run(10 * time.Second)
		fl.sv.down, fl.sv.calls = true, 0
		fl.run(time.Hour)
		b.ReportMetric(float64(fl.sv.calls)/3600, "calls/s-down")
		fl.sv.down, fl.sv.perSec = false, nil
		fl.run(2 * time.Minute)
		peak := 0
		for _, n := range fl.sv.perSec {
			peak = max(peak, n)
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(float64(peak), "calls-peak/s-back")
	}
}

// BenchmarkReplacement replaces VMs one by one, 7,000 a day, while a tenth of a
// day passes quickly: what boots cost the service.
func BenchmarkReplacement(b *testing.B) {
	for b.Loop() {
		fl := newFleet(2, 4, 50)
		fl.link.Loss = 0.01
		fl.start()
		fl.run(10 * time.Second)
		up := fl.change(fl.vms[0], "wash", "c1", measureDocument)
		fl.run(10 * time.Second)
		fl.sv.calls = 0
		const boots = 700
		begun := fl.Now()
		for i := range boots {
			fl.run(12 * time.Second)
			fl.vms[i%len(fl.vms)].boot()
		}
		fl.run(10 * time.Second)
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(float64(fl.sv.calls)/(fl.Now()-begun).Seconds(), "calls/s")
		b.ReportMetric(float64(len(fl.vms)-fl.holding(up)), "without")
	}
}

// BenchmarkMemory is the heap of one machine as teams and VMs grow.
func BenchmarkMemory(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		for _, vms := range []int{9, 4303} {
			b.Run(fmt.Sprintf("teams=%d/vms=%d", teams, vms), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(heapOf(teams, vms)/(1<<10), "KiB")
				}
			})
		}
	}
}

func heapOf(teams, vms int) float64 {
	list := newFleet(1, 13, (vms+12)/13).list()[:vms]
	before := heapNow()
	ma := New(Config{Self: list[0], Rand: newFleet(1, 1, 1).rnd, Readable: readable})
	ma.Step(0, Members{VMs: list})
	for i := range teams {
		ma.Step(0, Accepted{Update: Update{Team: fmt.Sprint("team", i), Revision: 1, ChangeID: fmt.Sprint("c", i), Document: make([]byte, measureDocument)}})
		ma.Step(time.Hour, Tick{})
		ma.calls = ma.calls[:0]
	}
	after := heapNow()
	runtime.KeepAlive(ma)
	runtime.KeepAlive(list)
	return after - before
}

func heapNow() float64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// BenchmarkMembers is the cost of one change of the list of VMs.
func BenchmarkMembers(b *testing.B) {
	for _, sz := range sizes() {
		b.Run(fmt.Sprintf("vms=%d", sz.centres*sz.each), func(b *testing.B) {
			list := newFleet(1, sz.centres, sz.each).list()
			for b.Loop() {
				_ = rank.New(rank.Config{Self: list[0], VMs: list})
			}
		})
	}
}
