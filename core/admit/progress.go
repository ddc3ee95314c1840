package admit

import (
	"cmp"
	"slices"
	"time"
)

// absence is a started request that waits for servers, until the time at which they are expected to
// have answered.
type absence struct {
	until time.Duration
	cost  float64
}

// absences holds the requests that wait for servers and use nothing of this VM meanwhile, in the
// order of their times.
type absences struct {
	list []absence
	cost float64
}

func (as *absences) add(ab absence) {
	i, _ := slices.BinarySearchFunc(as.list, ab, func(a, b absence) int { return cmp.Compare(a.until, b.until) })
	as.list = slices.Insert(as.list, i, ab)
	as.cost += ab.cost
}

// remove removes a request that ended before its time.
func (as *absences) remove(ab absence) {
	if i := slices.Index(as.list, ab); i >= 0 {
		as.list = slices.Delete(as.list, i, i+1)
		as.cost -= ab.cost
	}
}

// advance removes the requests whose time has come.
func (as *absences) advance(now time.Duration) {
	n := 0
	for n < len(as.list) && as.list[n].until <= now {
		as.cost -= as.list[n].cost
		n++
	}
	as.list = slices.Delete(as.list, 0, n)
	if len(as.list) == 0 {
		as.cost = 0 // no rounding errors remain
	}
}

// working returns the cost in progress without that which waits for servers. The more the delay
// exceeds what is allowed, the more of the latter is included, from twice the allowed delay on all
// of it: a VM that is behind sees its own delay as latency of the servers, and would start ever
// more while it waits for them.
func (ga *Gate[W]) working() float64 {
	return ga.inProgress - ga.away.cost*min(1, max(0, 2-ga.pace.Load()))
}

// hasRoom reports whether a request can start now. This VM must not be idle while something waits.
func (ga *Gate[W]) hasRoom(cost float64) bool {
	working := ga.working()
	return working < 1 || working+cost <= ga.pace.Window()
}

// Sent records that the first sub-requests of a started request were written, and how long that
// took. Step must be called then, since the request only waits for servers from now on.
func (ga *Gate[W]) Sent(now time.Duration, ar Arrival, took time.Duration) {
	ga.Away(now, ar)
	ga.pace.Sent(ga.now, ar.Cost, took)
}

// Away is Sent for a request for which the time until it was written says nothing about this VM.
func (ga *Gate[W]) Away(now time.Duration, ar Arrival) {
	ga.advance(now)
	if ab := (absence{until: now + ar.Servers, cost: ar.Cost}); ab.until > ga.now {
		ga.away.add(ab)
	}
}

// Late records how late a timer of this VM fired.
func (ga *Gate[W]) Late(late time.Duration) { ga.pace.Late(late) }

// Run is how a started request went.
type Run struct {
	// Started is when it started, Sent the time that was given to Gate.Sent or Gate.Away; 0 without.
	Started, Sent time.Duration
	// Idle is the part of the time that it took in which it only waited for parts that its answer
	// did not need: it says nothing about how long others need.
	Idle time.Duration
}

// Done ends a request that was started.
func (ga *Gate[W]) Done(now time.Duration, ar Arrival, rn Run) {
	ga.advance(now)
	limited := ga.count > 0 || ga.working()+ar.Cost > ga.pace.Window()
	took, away := ga.now-rn.Started, time.Duration(0)
	if rn.Sent > 0 {
		away = min(ar.Servers, ga.now-rn.Sent)
		ga.away.remove(absence{until: rn.Sent + ar.Servers, cost: ar.Cost})
	}
	ga.inProgress = max(0, ga.inProgress-ar.Cost)
	ga.pace.End(ga.now, ar.Cost, max(1, took-away), limited)
	ga.route(ar.Route).observe(max(1, took-rn.Idle-ar.Servers))
}
