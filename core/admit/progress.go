package admit

import (
	"cmp"
	"slices"
	"time"
)

// absence is a started request and a time of it.
type absence struct {
	until time.Duration
	cost  float64
}

// absences holds started requests until their times, in the order of these.
type absences struct {
	list []absence
	cost float64
}

func (as *absences) add(ab absence) {
	i, _ := slices.BinarySearchFunc(as.list, ab, func(a, b absence) int { return cmp.Compare(a.until, b.until) })
	as.list = slices.Insert(as.list, i, ab)
	as.cost += ab.cost
}

// remove removes a request before its time. It returns false if the time has come.
func (as *absences) remove(ab absence) bool {
	i := slices.Index(as.list, ab)
	if i < 0 {
		return false
	}
	as.list = slices.Delete(as.list, i, i+1)
	as.cost -= ab.cost
	return true
}

// advance removes the requests whose times have come, and returns their cost.
func (as *absences) advance(now time.Duration) float64 {
	n, removed := 0, 0.0
	for n < len(as.list) && as.list[n].until <= now {
		removed += as.list[n].cost
		n++
	}
	as.list = slices.Delete(as.list, 0, n)
	as.cost -= removed
	if len(as.list) == 0 {
		as.cost = 0 // no rounding errors remain
	}
	return removed
}

// working returns the cost in progress without that which waits for servers. The more the delay
// exceeds what is allowed, the more of the latter is included, from twice the allowed delay on all
// of it: a VM that is behind sees its own delay as latency of the servers, and would start ever
// more while it waits for them.
func (ga *Gate[W]) working() float64 {
	return ga.inProgress - (ga.away.cost+ga.overdue)*min(1, max(0, 2-ga.pace.Load()))
}

// hasRoom reports whether a request can start now. This VM must not be idle while something waits.
func (ga *Gate[W]) hasRoom(cost float64) bool {
	working := ga.working()
	return working < 1 || working+cost <= ga.pace.Window()
}

// Sent records that the first sub-requests of a started request were written, and how long that
// took. It returns what is to be given to Done. Step must be called then, since the request only
// waits for servers from now on.
func (ga *Gate[W]) Sent(now time.Duration, ar Arrival, took time.Duration) Arrival {
	ar = ga.Away(now, ar)
	ga.pace.Sent(ga.now, ar.Cost, took)
	return ar
}

// Away is Sent for a request for which the time until it was written says nothing about this VM.
func (ga *Gate[W]) Away(now time.Duration, ar Arrival) Arrival {
	ga.advance(now)
	ar.sent, ar.due = ga.now, ga.now+ar.Servers+time.Duration(dueShare*float64(ga.localTime(ar)))
	ga.away.add(absence{until: ar.sent + ar.Servers, cost: ar.Cost})
	ga.due.add(absence{until: ar.due, cost: ar.Cost})
	return ar
}

// Late records how late a timer of this VM fired.
func (ga *Gate[W]) Late(late time.Duration) { ga.pace.Late(late) }

// Done ends a request that was started. Idle is the part of the time that it took in which it only
// waited for parts that its answer did not need: it says nothing about how long others need.
func (ga *Gate[W]) Done(now time.Duration, ar Arrival, took, idle time.Duration) {
	ga.advance(now)
	limited := ga.count > 0 || ga.working()+ar.Cost > ga.pace.Window()
	away := idle
	if ar.due > 0 {
		away += min(ar.Servers, ga.now-ar.sent)
		ga.away.remove(absence{until: ar.sent + ar.Servers, cost: ar.Cost})
		if !ga.due.remove(absence{until: ar.due, cost: ar.Cost}) {
			ga.overdue -= ar.Cost
		}
	}
	ga.inProgress = max(0, ga.inProgress-ar.Cost)
	ga.pace.End(ga.now, ar.Cost, max(1, took-away), limited)
	ga.route(ar.Route).observe(max(1, took-idle-ar.Servers))
}
