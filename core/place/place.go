// Package place chooses the VM that runs a request: one of the forward targets, or this VM itself.
//
// # Usage
//
//	tb := place.New(place.Config{})
//	tb.Report(now, addr, place.Load{Wait: wait})
//	tb.Decline(now, addr, stops)
//	choice, _ := tb.Choose(now, targets, own, rnd.Float64)
//	if choice < 0 {
//		// run it on this VM
//	}
//
// A Table may be used from many goroutines.
//
// # Rules
//
// The table is used while one of the VMs is busy (Busy).
//
// The expected time at a VM is what this VM has observed there, or the wait that the VM reported
// with its last answers if that is longer. A report loses weight with its age, because the load
// changes many times a second. Two targets are drawn and the one with the lower expected time is
// taken: if all VMs took the best one, they would move to the same VM together, and away from it
// together. Targets of the own data centre are drawn first. Others are drawn only if the expected
// time here exceeds the extra time that they take, so that nothing is sent to other data centres
// without need. If the expected time exceeds that on this VM by a margin, and the target reports that
// it is busy, this VM runs the request.
package place

import (
	"math"
	"sync"
	"time"
)

const (
	// reportDecay is the age at which a report has lost two thirds of its weight. With 2 s, the VMs
	// left a busy data centre together and came back together: of 45,000 requests of a data centre
	// with two thirds of the clients 45 were late, with 500 ms 2.
	reportDecay = 500 * time.Millisecond
	// busyTime is how long a VM that declined a request is not used; it doubles with each further
	// time up to maxBusyTime, which applies at once to a VM that stops.
	busyTime    = 100 * time.Millisecond
	maxBusyTime = 1600 * time.Millisecond
	// maxDoublings is the number of declines in a row after which maxBusyTime applies.
	maxDoublings = 4
	// busyWait is the wait from which on a VM counts as busy: a part of the shortest usual target, and
	// more than a VM with room reports.
	busyWait = 10 * time.Millisecond
	// waitShare is how many times its reported wait a target may be slower than usual because it is
	// busy. A latency beyond that comes from slow servers, which this VM would meet too, and knows
	// less about: of 161 gathers that small VMs then ran themselves 60 were late.
	waitShare = 4
	// ownMargin is how much sooner this VM must be expected to answer than the best target.
	ownMargin = 10 * time.Millisecond
	// forgetAfter is how long a VM without reports is remembered.
	forgetAfter = time.Minute
	// maxRemembered is the number of VMs from which on old ones are forgotten.
	maxRemembered = 64
)

// Self is what Choose returns if this VM runs the request.
const Self = -1

// Load is what a VM reported of itself.
type Load struct {
	// Wait is how long a request waits there.
	Wait time.Duration
}

// Target is a VM that can run the request.
type Target struct {
	Addr string
	// Local is set for a VM of this VM's data centre.
	Local bool
	// Cost is the time that the request is expected to take there, by this VM's observations. Base
	// is the same if the VM had not been observed.
	Cost, Base time.Duration
}

// Config configures a Table.
type Config struct{}

type record struct {
	load Load
	// at is when load was reported; lastReplyAt is when the VM last reported or declined.
	at, lastReplyAt time.Duration
	// declines counts the requests declined in a row; the VM is not used before usableAt.
	declines int
	usableAt time.Duration
}

// Table holds the reports of other VMs.
type Table struct {
	mu      sync.Mutex
	records map[string]*record
}

// New returns an empty table.
func New(Config) *Table { return &Table{records: make(map[string]*record)} }

// Report records what a VM reported with an answer.
func (tb *Table) Report(now time.Duration, addr string, lo Load) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re := tb.record(now, addr)
	re.load, re.at, re.lastReplyAt, re.declines = lo, now, now, 0
}

// Decline records that a VM declined a request because it is busy or, if stops is set, because it
// stops.
func (tb *Table) Decline(now time.Duration, addr string, stops bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re := tb.record(now, addr)
	wait := min(busyTime<<min(re.declines, maxDoublings), maxBusyTime)
	if stops {
		wait = maxBusyTime
	}
	re.usableAt = now + wait
	re.declines++
	re.lastReplyAt = now
}

func (tb *Table) record(now time.Duration, addr string) *record {
	re, ok := tb.records[addr]
	if ok {
		return re
	}
	if len(tb.records) >= maxRemembered {
		for other, old := range tb.records {
			if now-old.lastReplyAt > forgetAfter {
				delete(tb.records, other)
			}
		}
	}
	re = &record{at: now, lastReplyAt: now}
	tb.records[addr] = re
	return re
}

// Busy reports whether one of the VMs said recently that requests wait there, or declined one. While
// none did, the observed latencies alone are the better choice: they show which VMs are fast.
func (tb *Table) Busy(now time.Duration) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for addr, re := range tb.records {
		if now < re.usableAt || tb.wait(now, addr) >= busyWait {
			return true
		}
	}
	return false
}

// Choose returns the index of the target that runs the request, or Self; sooner is set if there are
// targets, and this VM is expected to answer before them. Own is the time that the
// request is expected to take on this VM; 0 if this VM should not run it unless there is no target.
// Draw returns uniform random numbers in [0, 1).
func (tb *Table) Choose(now time.Duration, targets []Target, own time.Duration, draw func() float64) (choice int, sooner bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var local, remote []int
	for k, ta := range targets {
		switch re, ok := tb.records[ta.Addr]; {
		case ok && now < re.usableAt:
		case ta.Local:
			local = append(local, k)
		default:
			remote = append(remote, k)
		}
	}
	best, least := Self, time.Duration(math.MaxInt64)
	for _, group := range [...][]int{local, remote} {
		if len(group) == 0 || best != Self && least <= targets[group[0]].Base {
			continue
		}
		if k := tb.bestOfTwo(now, targets, group, draw); tb.expected(now, targets[k]) < least {
			best, least = k, tb.expected(now, targets[k])
		}
	}
	if best != Self && own > 0 && own+ownMargin < min(least, targets[best].Base+waitShare*tb.wait(now, targets[best].Addr)) {
		return Self, true
	}
	return best, false
}

// bestOfTwo draws two different targets of a group and returns the one with the lower expected time.
func (tb *Table) bestOfTwo(now time.Duration, targets []Target, group []int, draw func() float64) int {
	first := int(draw() * float64(len(group)))
	if len(group) == 1 {
		return group[0]
	}
	second := int(draw() * float64(len(group)-1))
	if second >= first {
		second++
	}
	a, b := group[first], group[second]
	if tb.expected(now, targets[b]) < tb.expected(now, targets[a]) {
		return b
	}
	return a
}

// expected returns the time that the request is expected to take at a target.
func (tb *Table) expected(now time.Duration, ta Target) time.Duration {
	return max(ta.Cost, ta.Base+tb.wait(now, ta.Addr))
}

// wait returns how long a request waits at a VM by its last report.
func (tb *Table) wait(now time.Duration, addr string) time.Duration {
	re, ok := tb.records[addr]
	if !ok {
		return 0
	}
	return time.Duration(float64(re.load.Wait) * math.Exp(-float64(now-re.at)/float64(reportDecay)))
}
