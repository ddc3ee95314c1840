package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/admit"
)

// fault is one failure brought about at faultAt and ended at faultEnd.
type fault struct {
	name string
	load float64
	on   func(wo *world)
	off  func(wo *world)
	// during and after are the least shares answered while it lasts and from
	// recoverIn after its end, as shares of what is answered before.
	during float64
	after  float64
}

const (
	faultAt   = 4 * time.Second
	faultEnd  = 8 * time.Second
	recoverIn = 2 * time.Second
	faultStop = 14 * time.Second
)

func each(f func(sv *simServer)) func(wo *world) {
	return func(wo *world) {
		for _, sv := range wo.servers {
			f(sv)
		}
	}
}

func one(f func(sv *simServer)) func(wo *world) {
	return func(wo *world) { f(wo.servers[0]) }
}

func nothing(*world) {}

var faults = []fault{
	{
		// The caller sees refusals with a time to come back for as long as
		// the wave lasts, and answers again within two seconds.
		// Every server sheds everything; the limits fall to their least and
		// are probed at a slow pace, then double up to where they were.
		// Why: a cut below one is kept by pacing, and probes never stop.
		name: "shed wave", load: 0.7,
		on:     each(func(sv *simServer) { sv.sheds = true }),
		off:    each(func(sv *simServer) { sv.sheds = false }),
		during: 0, after: 0.95,
	},
	{
		// The caller of a lower class sees refusals while a third of the
		// slots is left, and none two seconds after they are back.
		// The queue on replies grows, so each VM cuts its limits; then replies
		// without a queue raise them, the faster the more come in a row.
		// Why: the limits follow replies alone, both ways.
		name: "slots cut to a third", load: 0.7,
		on:     each(func(sv *simServer) { sv.slots = 1 }),
		off:    each(func(sv *simServer) { sv.slots = 3 }),
		during: 0.38, after: 0.95,
	},
	{
		// The caller sees nothing but a few more retries.
		// One server answers errors at once, so it always looks idle. Three in
		// a row take it out of its group but for a paced probe.
		// Why: room is what replies showed, and an error shows none.
		name: "fast errors", load: 0.5,
		on:     one(func(sv *simServer) { sv.errors = true }),
		off:    one(func(sv *simServer) { sv.errors = false }),
		during: 0.9, after: 0.95,
	},
	{
		// The caller sees a few searches run into their deadlines, then none.
		// One server accepts and never answers. What is in flight there is
		// bounded by its limit until the first deadlines pass; three in a row
		// take it out but for a paced probe.
		// Why: the limit bounds what one server can hold up.
		name: "accepts and never answers", load: 0.5,
		on:     one(func(sv *simServer) { sv.silent = true }),
		off:    one(func(sv *simServer) { sv.silent = false }),
		during: 0.85, after: 0.95,
	},
	{
		// The caller sees refusals until the servers are warm, and no storm
		// when they are.
		// All servers restart: they refuse as cold, then are slow. Limits are
		// at their least when the first answers come, so the start is a ramp.
		// Why: refusals cut, and each probe that is answered at most doubles.
		name: "cold start of every server", load: 0.7,
		on: func(wo *world) {
			each(func(sv *simServer) { sv.sheds = true; sv.slow = 3 })(wo)
			wo.After(2*time.Second, func() { each(func(sv *simServer) { sv.sheds = false })(wo) })
		},
		off:    each(func(sv *simServer) { sv.slow = 0 }),
		during: 0.1, after: 0.95,
	},
	{
		// The caller sees the VMs' restart and no second dip.
		// All VMs lose what they learnt at once, at twice the capacity. Each
		// starts with a small limit on each server.
		// Why: what a new VM may send before its first replies is bounded.
		name: "all VMs restarted at once", load: 2,
		on: func(wo *world) {
			for _, vm := range wo.vms {
				fresh := wo.newVM()
				vm.tb, vm.pool, vm.mc, vm.spare = fresh.tb, fresh.pool, fresh.mc, fresh.spare
			}
		},
		off:    nothing,
		during: 0.9, after: 0.95,
	},
	{
		// The caller of an urgent search sees no difference; lower classes are
		// refused somewhat later.
		// All servers say that nothing runs and nothing waits, at twice their
		// capacity. Latency against its floor and sheds take over.
		// Why: no account that a server gives raises a limit by itself.
		name: "lying replies", load: 2,
		on:     each(func(sv *simServer) { sv.lies = true }),
		off:    each(func(sv *simServer) { sv.lies = false }),
		during: 0.9, after: 0.95,
	},
}

func TestFaults(t *testing.T) {
	for _, fa := range faults {
		t.Run(fa.name, func(t *testing.T) {
			is := is.New(t)
			wo := newWorld(pettigrew, adaptive, 11)
			wo.load(fa.load * pettigrew.capacity())
			wo.run(faultAt)
			fa.on(wo)
			wo.run(faultEnd)
			fa.off(wo)
			wo.run(faultStop)
			before := wo.answered(faultAt-2*time.Second, faultAt)
			during := wo.answered(faultAt, faultEnd)
			after := wo.answered(faultEnd+recoverIn, faultStop)
			t.Logf("searches answered whole: before %.3f, during %.3f, from 2 s after %.3f; extra work %.2f%%",
				before, during, after, 100*float64(wo.count.retries)/float64(wo.count.primaries))
			is.True(during >= fa.during*before) // while the fault lasts
			is.True(after >= fa.after*before)   // soon after
			is.Equal(wo.count.ranAfterRefusal, 0)
			is.True(wo.count.retries <= wo.count.primaries/10+2*spareBurst*len(wo.vms)) // a VM that restarts has a new burst
		})
	}
}

// answered is the share of the searches that arrived between two times and were
// answered whole. It leaves out those of the last two seconds, the longest
// deadline.
func (wo *world) answered(from, to time.Duration) float64 {
	const bin = 100 * time.Millisecond
	to = min(to, wo.Now()-2*time.Second)
	offered, good := 0, 0
	for at := from; at < to; at += bin {
		offered += wo.count.offeredBy[int(at/bin)]
		good += wo.count.goodBy[int(at/bin)]
	}
	return float64(good) / float64(offered)
}

// rate is the goodput a second between two times.
func (wo *world) rate(from, to time.Duration) float64 {
	const bin = 100 * time.Millisecond
	n := 0
	for at := from; at < to; at += bin {
		n += wo.count.goodAt[int(at/bin)]
	}
	return float64(n) / (to - from).Seconds()
}

// What the caller sees: searches of the one class there is are answered as
// fast as the servers can.
// All load is urgent, which may fill several times what the limits say; the
// limits come down until the servers' queues are short again.
// Why: limits follow what replies show, whichever class caused it.
func TestOneClassAlone(t *testing.T) {
	for _, cl := range []admit.Class{admit.Urgent, admit.Interactive, admit.Batch} {
		is := is.New(t)
		wo := newWorld(pettigrew, adaptive, 3)
		for _, vm := range wo.vms {
			vm.arrivalsOf(cl, 0, 5*pettigrew.capacity()/float64(len(wo.vms)))
		}
		wo.run(8 * time.Second)
		got := wo.rate(4*time.Second, 8*time.Second) / pettigrew.capacity()
		t.Logf("class %d alone at 5 times capacity: goodput %.3f", cl, got)
		is.True(got >= 0.8)
	}
}

// What the caller sees: it gets as many answers whichever of nine VMs it asks,
// after a minute as after ten seconds.
// The VMs stand before one server of three slots, at three times what it can
// do; none knows of the others, each sees only its own replies.
// Why: only like limits are at rest, and the step up never ends.
func TestNineShareThreeSlots(t *testing.T) {
	is := is.New(t)
	de := deployment{"one server", 9, 1, 1, 3, 12, time.Millisecond, 10 * time.Millisecond}
	wo := newWorld(de, adaptive, 5)
	parts := make(map[*simVM]float64)
	wo.watch = func(se *simSearch) {
		if se.good {
			parts[se.vm]++
		}
	}
	wo.load(3 * de.capacity())
	wo.run(20 * time.Second)
	early := wo.rate(10*time.Second, 20*time.Second) / de.capacity()
	wo.run(60 * time.Second)
	late := wo.rate(50*time.Second, 60*time.Second) / de.capacity()
	t.Logf("goodput %.3f of capacity in seconds 10 to 20, %.3f in 50 to 60; fairness (Jain) %.3f", early, late, jain(parts, len(wo.vms)))
	is.True(early >= 0.75)
	is.True(late >= 0.95*early)              // no ratchet
	is.True(jain(parts, len(wo.vms)) >= 0.9) // like parts
}

// jain is 1 where all parts are alike and 1/n where one has all.
func jain[K comparable](parts map[K]float64, n int) float64 {
	sum, squares := 0.0, 0.0
	for _, part := range parts {
		sum += part
		squares += part * part
	}
	return sum * sum / squares / float64(n)
}

// What the caller sees: a quiet team's searches are answered as if it were
// alone, while another asks for 100 times what there is room for.
// Both are of one class and share every server and queue.
// Why: the loud team fills its own part of the queue and no more, and teams
// take turns.
func TestLoudTeam(t *testing.T) {
	is := is.New(t)
	run := func(loud float64) (good, offered int, lat time.Duration) {
		wo := newWorld(pettigrew, adaptive, 9)
		var lats []time.Duration
		for _, vm := range wo.vms {
			vm.arrivalsOf(admit.Interactive, 1, 0.05*pettigrew.capacity()/float64(len(wo.vms)))
			if loud > 0 {
				vm.arrivalsOf(admit.Interactive, 2, loud*pettigrew.capacity()/float64(len(wo.vms)))
			}
		}
		wo.watch = func(se *simSearch) {
			if se.team != 1 || se.arrived < 2*time.Second {
				return
			}
			offered++
			if se.good {
				good++
				lats = append(lats, wo.Now()-se.arrived)
			}
		}
		wo.run(8 * time.Second)
		return good, offered, p99(lats)
	}
	aloneGood, aloneOffered, aloneP99 := run(0)
	good, offered, late := run(100)
	t.Logf("quiet team: alone %d of %d, p99 %v; beside the loud one %d of %d, p99 %v", aloneGood, aloneOffered, aloneP99, good, offered, late)
	is.True(float64(good) >= 0.99*float64(offered))
	is.True(float64(aloneGood) >= 0.99*float64(aloneOffered))
	is.True(late <= classDeadline[admit.Interactive]/2)
}
