package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/admit"
)

// fault is one failure that begins at faultAt and ends at faultEnd.
type fault struct {
	name  string
	load  float64
	begin func(sm *simulation)
	end   func(sm *simulation)
	// during and after are the minimum shares of searches answered while the
	// fault lasts and from recoveryTime after its end, relative to the share
	// answered before it.
	during float64
	after  float64
}

const (
	faultAt      = 4 * time.Second
	faultEnd     = 8 * time.Second
	recoveryTime = 2 * time.Second
	runEnd       = 14 * time.Second
)

func onEveryServer(f func(sv *simServer)) func(sm *simulation) {
	return func(sm *simulation) {
		for _, sv := range sm.servers {
			f(sv)
		}
	}
}

func onFirstServer(f func(sv *simServer)) func(sm *simulation) {
	return func(sm *simulation) { f(sm.servers[0]) }
}

func noChange(*simulation) {}

var faults = []fault{
	{
		// Every server sheds everything. The limits fall to their minimum;
		// below one they are applied by pacing, so that there are always a
		// few probes. Once these succeed, the limits double until they are
		// back. Callers get refusals with RetryAfter while it lasts, and
		// answers again within two seconds of its end.
		name: "every server sheds", load: 0.7,
		begin:  onEveryServer(func(sv *simServer) { sv.sheds = true }),
		end:    onEveryServer(func(sv *simServer) { sv.sheds = false }),
		during: 0, after: 0.95,
	},
	{
		// Only a third of the slots is left. The queue length in replies
		// grows, so that each VM decreases its limits; when the slots are
		// back, replies without a queue increase them, the faster the more
		// come in a row. Lower classes are refused while it lasts and no
		// longer two seconds after. The limits follow replies alone, in
		// both directions.
		name: "slots cut to a third", load: 0.7,
		begin:  onEveryServer(func(sv *simServer) { sv.slots = 1 }),
		end:    onEveryServer(func(sv *simServer) { sv.slots = 3 }),
		during: 0.38, after: 0.95,
	},
	{
		// One server returns errors at once, so that it always looks idle.
		// After three in a row it gets only paced probes, since only replies
		// show capacity and errors do not. Callers see only a few more
		// retries.
		name: "fast errors", load: 0.5,
		begin:  onFirstServer(func(sv *simServer) { sv.failsAtOnce = true }),
		end:    onFirstServer(func(sv *simServer) { sv.failsAtOnce = false }),
		during: 0.9, after: 0.95,
	},
	{
		// One server accepts requests and never answers. Its limit bounds
		// the sub-requests that wait for it until the first deadlines pass;
		// after three failures in a row it gets only paced probes. A few
		// searches reach their deadlines, then none.
		name: "accepts and never answers", load: 0.5,
		begin:  onFirstServer(func(sv *simServer) { sv.silent = true }),
		end:    onFirstServer(func(sv *simServer) { sv.silent = false }),
		during: 0.85, after: 0.95,
	},
	{
		// All servers restart: they refuse while cold, then are slow. The
		// refusals decrease the limits to their minimum, and each answered
		// probe at most doubles them, so that the load ramps up. Callers get
		// refusals until the servers are warm, and there is no burst then.
		name: "cold start of every server", load: 0.7,
		begin: func(sm *simulation) {
			onEveryServer(func(sv *simServer) { sv.sheds = true; sv.slowFactor = 3 })(sm)
			sm.After(2*time.Second, func() { onEveryServer(func(sv *simServer) { sv.sheds = false })(sm) })
		},
		end:    onEveryServer(func(sv *simServer) { sv.slowFactor = 0 }),
		during: 0.1, after: 0.95,
	},
	{
		// All VMs lose their learned limits at once, at twice the capacity.
		// Each starts with a small limit on each server, which bounds what it
		// sends before its first replies, so that the restart is not followed
		// by a second drop.
		name: "all VMs restarted at once", load: 2,
		begin: func(sm *simulation) {
			for _, vm := range sm.vms {
				fresh := sm.newVM()
				vm.tb, vm.pool, vm.mc, vm.retryBudget = fresh.tb, fresh.pool, fresh.mc, fresh.retryBudget
			}
		},
		end:    noChange,
		during: 0.9, after: 0.95,
	},
	{
		// All servers report in their replies that nothing runs and nothing
		// waits, at twice their capacity. Latency relative to its minimum and
		// refusals still decrease the limits: a reported load alone never
		// increases one. Urgent searches are not affected, lower classes are
		// refused somewhat later.
		name: "replies report no load", load: 2,
		begin:  onEveryServer(func(sv *simServer) { sv.falseLoad = true }),
		end:    onEveryServer(func(sv *simServer) { sv.falseLoad = false }),
		during: 0.9, after: 0.95,
	},
}

func TestFaults(t *testing.T) {
	for _, fa := range faults {
		t.Run(fa.name, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(pettigrew, adaptive, 11)
			sm.startLoad(fa.load * pettigrew.capacity())
			sm.run(faultAt)
			fa.begin(sm)
			sm.run(faultEnd)
			fa.end(sm)
			sm.run(runEnd)
			before := sm.answeredShare(faultAt-2*time.Second, faultAt)
			during := sm.answeredShare(faultAt, faultEnd)
			after := sm.answeredShare(faultEnd+recoveryTime, runEnd)
			t.Logf("searches answered completely: before %.3f, during %.3f, from 2 s after %.3f; extra work %.2f%%",
				before, during, after, 100*float64(sm.count.retries)/float64(sm.count.primaries))
			is.True(during >= fa.during*before) // while the fault lasts
			is.True(after >= fa.after*before)   // soon after
			is.Equal(sm.count.ranAfterRefusal, 0)
			is.True(sm.count.retries <= sm.count.primaries/10+2*retryBurst*len(sm.vms)) // a VM that restarts has a new burst
		})
	}
}

// answeredShare is the share of the searches arriving between two times that were
// answered completely. It leaves out those of the last two seconds, which is the
// longest deadline.
func (sm *simulation) answeredShare(from, to time.Duration) float64 {
	const bin = 100 * time.Millisecond
	to = min(to, sm.Now()-2*time.Second)
	offered, good := 0, 0
	for at := from; at < to; at += bin {
		offered += sm.count.offeredBy[int(at/bin)]
		good += sm.count.goodBy[int(at/bin)]
	}
	return float64(good) / float64(offered)
}

// goodputRate is the number of searches per second answered between two times.
func (sm *simulation) goodputRate(from, to time.Duration) float64 {
	const bin = 100 * time.Millisecond
	n := 0
	for at := from; at < to; at += bin {
		n += sm.count.goodAt[int(at/bin)]
	}
	return float64(n) / (to - from).Seconds()
}

// All load is of one class. Urgent searches may exceed the limits several times over;
// the limits then decrease until the servers' queues are short again, since they
// follow the replies, whichever class caused the load. The goodput must stay near the
// capacity for each class.
func TestOneClassAlone(t *testing.T) {
	for _, cl := range []admit.Class{admit.Urgent, admit.Interactive, admit.Batch} {
		is := is.New(t)
		sm := newSimulation(pettigrew, adaptive, 3)
		for _, vm := range sm.vms {
			vm.arrivalsOf(cl, 0, 5*pettigrew.capacity()/float64(len(sm.vms)))
		}
		sm.run(8 * time.Second)
		got := sm.goodputRate(4*time.Second, 8*time.Second) / pettigrew.capacity()
		t.Logf("class %d alone at 5 times capacity: goodput %.3f", cl, got)
		is.True(got >= 0.8)
	}
}

// Nine VMs send three times the capacity to one server with three slots. None knows of
// the others; each sees only its own replies. They must get equal shares, and the
// goodput must be as high after a minute as after ten seconds: limits are stable only
// if they are equal, and never stop probing upwards.
func TestNineVMsShareThreeSlots(t *testing.T) {
	is := is.New(t)
	de := deployment{"one server", 9, 1, 1, 3, 12, time.Millisecond, 10 * time.Millisecond}
	sm := newSimulation(de, adaptive, 5)
	parts := make(map[*simVM]float64)
	sm.onEnd = func(se *simSearch) {
		if se.good {
			parts[se.vm]++
		}
	}
	sm.startLoad(3 * de.capacity())
	sm.run(20 * time.Second)
	early := sm.goodputRate(10*time.Second, 20*time.Second) / de.capacity()
	sm.run(60 * time.Second)
	late := sm.goodputRate(50*time.Second, 60*time.Second) / de.capacity()
	t.Logf("goodput %.3f of capacity in seconds 10 to 20, %.3f in 50 to 60; fairness (Jain) %.3f", early, late, jainIndex(parts, len(sm.vms)))
	is.True(early >= 0.75)
	is.True(late >= 0.95*early)                   // goodput does not degrade over time
	is.True(jainIndex(parts, len(sm.vms)) >= 0.9) // equal shares
}

// jainIndex is Jain's fairness index: 1 if all parts are equal, 1/n if one has all.
func jainIndex[K comparable](parts map[K]float64, n int) float64 {
	sum, squares := 0.0, 0.0
	for _, part := range parts {
		sum += part
		squares += part * part
	}
	return sum * sum / squares / float64(n)
}

// One team sends 100 times the capacity, another one 5 % of it. Both have the same
// class and share every server and queue. The searches of the second team must be
// answered as if it were alone: the overloading team can fill only its own part of
// the queue, and teams take turns.
func TestOverloadingTeamDoesNotSlowOthers(t *testing.T) {
	is := is.New(t)
	run := func(overload float64) (good, offered int, p99Latency time.Duration) {
		sm := newSimulation(pettigrew, adaptive, 9)
		var latencies []time.Duration
		for _, vm := range sm.vms {
			vm.arrivalsOf(admit.Interactive, 1, 0.05*pettigrew.capacity()/float64(len(sm.vms)))
			if overload > 0 {
				vm.arrivalsOf(admit.Interactive, 2, overload*pettigrew.capacity()/float64(len(sm.vms)))
			}
		}
		sm.onEnd = func(se *simSearch) {
			if se.team != 1 || se.arrived < 2*time.Second {
				return
			}
			offered++
			if se.good {
				good++
				latencies = append(latencies, sm.Now()-se.arrived)
			}
		}
		sm.run(8 * time.Second)
		return good, offered, p99(latencies)
	}
	aloneGood, aloneOffered, aloneP99 := run(0)
	good, offered, gotP99 := run(100)
	t.Logf("small team: alone %d of %d, p99 %v; beside the overloading team %d of %d, p99 %v", aloneGood, aloneOffered, aloneP99, good, offered, gotP99)
	is.True(float64(good) >= 0.99*float64(offered))
	is.True(float64(aloneGood) >= 0.99*float64(aloneOffered))
	is.True(gotP99 <= classDeadline[admit.Interactive]/2)
}
