package spread

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"laburnumvane/core/rank"
)

// The figures of docs/measures/config.md come from these benchmarks, each run once:
// go test -run '^$' -bench . -benchtime 1x ./core/spread

const (
	measureTeams    = 20
	measureChanges  = 60
	measureDocument = 6 << 10
	// measureValueOverhead is by how many bytes a value in the service is larger than a
	// document of that size, in base64 as transmitted; see BenchmarkEnvelope of core/change.
	measureValueOverhead = 9_200
	// changesPerSecond is 21,000 changes a day.
	changesPerSecond = 0.243
)

type fleetSize struct{ dataCentres, vmsPerDC int }

func fleetSizes() []fleetSize {
	return []fleetSize{{3, 3}, {4, 25}, {4, 250}, {13, 331}}
}

// measurement is the result of a run of changes through random VMs.
type measurement struct {
	fl        *fleet
	delays    []time.Duration
	elapsed   time.Duration
	missed    int
	peakCalls int
	calls     int
	steps     int
	stepTime  time.Duration
}

func measure(fl *fleet) measurement {
	fl.start()
	fl.run(30 * time.Second)
	for i := range measureTeams {
		fl.change(fl.vms[0], fmt.Sprint("team", i), fmt.Sprint("first", i), measureDocument)
	}
	fl.run(30 * time.Second)
	mr := measurement{fl: fl}
	fl.service.callsPerSec, fl.service.calls, fl.steps, fl.stepTime = map[int]int{}, 0, 0, 0
	for _, v := range fl.vms {
		v.bytes = 0
	}
	start := fl.Now()
	for i := range measureChanges {
		fl.run(time.Duration(fl.rnd.ExpFloat64() / changesPerSecond * float64(time.Second)))
		at := fl.Now()
		up := fl.change(fl.vms[fl.rnd.IntN(len(fl.vms))], fmt.Sprint("team", i%measureTeams), fmt.Sprint("c", i), measureDocument)
		fl.After(20*time.Second, func() { mr.record(up, at) })
	}
	fl.run(25 * time.Second)
	mr.elapsed = fl.Now() - start
	mr.calls, mr.steps, mr.stepTime = fl.service.calls, fl.steps, fl.stepTime
	for _, n := range fl.service.callsPerSec {
		mr.peakCalls = max(mr.peakCalls, n)
	}
	slices.Sort(mr.delays)
	return mr
}

// record records the delays of one change. A VM that skipped it for a later change of the team
// counts as missed only if it has neither.
func (mr *measurement) record(up Update, at time.Duration) {
	for _, v := range mr.fl.vms {
		done, ok := v.inForceAt[up.ChangeID]
		switch {
		case ok:
			mr.delays = append(mr.delays, done-at)
		case v.inForce[up.Team].Revision < up.Revision:
			mr.missed++
		}
	}
}

func (mr *measurement) quantile(q float64) float64 {
	return mr.delays[int(q*float64(len(mr.delays)-1))].Seconds() * 1000
}

func (mr *measurement) report(b *testing.B) {
	perVM := float64(len(mr.fl.vms)) * mr.elapsed.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(mr.quantile(0.5), "ms-p50")
	b.ReportMetric(mr.quantile(0.99), "ms-p99")
	b.ReportMetric(mr.quantile(1), "ms-max")
	b.ReportMetric(float64(mr.missed), "missed")
	b.ReportMetric(float64(mr.calls)/mr.elapsed.Seconds(), "calls/s")
	b.ReportMetric(float64(mr.peakCalls), "calls-peak/s")
	total, most := 0, 0
	for _, v := range mr.fl.vms {
		total += v.bytes
		most = max(most, v.bytes)
	}
	b.ReportMetric(float64(total)/perVM, "B/VM/s")
	b.ReportMetric(float64(most)/mr.elapsed.Seconds(), "B/s-busiest-VM")
	b.ReportMetric(float64(mr.steps)/perVM, "steps/VM/s")
	b.ReportMetric(100*mr.stepTime.Seconds()/perVM, "%core/VM")
}

func BenchmarkInForce(b *testing.B) {
	for _, sz := range fleetSizes() {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("vms=%d/ranked/seed=%d", sz.dataCentres*sz.vmsPerDC, seed), func(b *testing.B) {
				benchmarkInForce(b, sz, seed, false)
			})
		}
		b.Run(fmt.Sprintf("vms=%d/everyVMWatches", sz.dataCentres*sz.vmsPerDC), func(b *testing.B) {
			benchmarkInForce(b, sz, 0, true)
		})
	}
}

func benchmarkInForce(b *testing.B, sz fleetSize, seed uint64, everyVMWatches bool) {
	for b.Loop() {
		fl := newFleet(seed, sz.dataCentres, sz.vmsPerDC)
		fl.link.Loss, fl.everyVMWatches, fl.valueOverhead = 0.01, everyVMWatches, measureValueOverhead
		mr := measure(fl)
		mr.report(b)
	}
}

// BenchmarkHeal cuts off a data centre for ten minutes and 20 changes, and measures the time from
// the end of the partition until the last VM has all changes.
func BenchmarkHeal(b *testing.B) {
	for _, sz := range fleetSizes() {
		b.Run(fmt.Sprintf("vms=%d", sz.dataCentres*sz.vmsPerDC), func(b *testing.B) {
			for b.Loop() {
				fl := newFleet(4, sz.dataCentres, sz.vmsPerDC)
				fl.link.Loss = 0.01
				fl.start()
				fl.run(20 * time.Second)
				fl.cut = func(a, b string) bool { return (a == "dc1") != (b == "dc1") }
				ups := make([]Update, 20)
				for i := range ups {
					ups[i] = fl.change(fl.vms[0], fmt.Sprint("team", i), fmt.Sprint("c", i), measureDocument)
					fl.run(30 * time.Second)
				}
				fl.cut = noCut
				healed := fl.Now()
				for !fl.allInForce(ups) && fl.Now() < healed+time.Minute {
					fl.run(50 * time.Millisecond)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric((fl.Now()-healed).Seconds()*1000, "ms-converged")
			}
		})
	}
}

func (fl *fleet) allInForce(ups []Update) bool {
	for _, up := range ups {
		if fl.countInForce(up) < len(fl.vms) {
			return false
		}
	}
	return true
}

// BenchmarkOutage simulates a service outage of an hour and measures the fleet's rate of calls
// during it, and in the busiest second after it. Only watching VMs call the service; 13 data
// centres have 26 of them, however many VMs there are.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
		fl := newFleet(5, 13, 4)
		fl.start()
		fl.run(10 * time.Second)
		fl.change(fl.vms[0], "wash", "c1", measureDocument)
		fl.run(10 * time.Second)
		fl.service.down, fl.service.calls = true, 0
		fl.run(time.Hour)
		b.ReportMetric(float64(fl.service.calls)/3600, "calls/s-down")
		fl.service.down, fl.service.callsPerSec = false, nil
		fl.run(2 * time.Minute)
		peak := 0
		for _, n := range fl.service.callsPerSec {
			peak = max(peak, n)
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(float64(peak), "calls-peak/s-back")
	}
}

// BenchmarkReplacement replaces VMs one by one at a rate of 7,000 a day, for a tenth of a day of
// virtual time, and measures how many calls to the service the boots cause.
func BenchmarkReplacement(b *testing.B) {
	for b.Loop() {
		fl := newFleet(2, 4, 50)
		fl.link.Loss = 0.01
		fl.start()
		fl.run(10 * time.Second)
		up := fl.change(fl.vms[0], "wash", "c1", measureDocument)
		fl.run(10 * time.Second)
		fl.service.calls = 0
		const boots = 700
		start := fl.Now()
		for i := range boots {
			fl.run(12 * time.Second)
			fl.vms[i%len(fl.vms)].boot()
		}
		fl.run(10 * time.Second)
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(float64(fl.service.calls)/(fl.Now()-start).Seconds(), "calls/s")
		b.ReportMetric(float64(len(fl.vms)-fl.countInForce(up)), "without")
	}
}

// BenchmarkMemory measures the heap of one machine for several numbers of teams and VMs.
func BenchmarkMemory(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		for _, vms := range []int{9, 4303} {
			b.Run(fmt.Sprintf("teams=%d/vms=%d", teams, vms), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(machineHeapBytes(teams, vms)/(1<<10), "KiB")
				}
			})
		}
	}
}

func machineHeapBytes(teams, vms int) float64 {
	members := newFleet(1, 13, (vms+12)/13).members()[:vms]
	before := heapBytes()
	ma := New(Config{Self: members[0], Rand: newFleet(1, 1, 1).rnd, CheckReadable: readable})
	ma.Step(0, Members{VMs: members})
	for i := range teams {
		ma.Step(0, Accepted{Update: Update{Team: fmt.Sprint("team", i), Revision: 1, ChangeID: fmt.Sprint("c", i), Document: make([]byte, measureDocument)}})
		ma.Step(time.Hour, Tick{})
		ma.calls = ma.calls[:0]
	}
	after := heapBytes()
	runtime.KeepAlive(ma)
	runtime.KeepAlive(members)
	return after - before
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// BenchmarkMembers measures the cost of one change of the list of VMs.
func BenchmarkMembers(b *testing.B) {
	for _, sz := range fleetSizes() {
		b.Run(fmt.Sprintf("vms=%d", sz.dataCentres*sz.vmsPerDC), func(b *testing.B) {
			members := newFleet(1, sz.dataCentres, sz.vmsPerDC).members()
			for b.Loop() {
				_ = rank.New(rank.Config{Self: members[0], VMs: members})
			}
		})
	}
}
