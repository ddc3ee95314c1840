package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/admit"
	"laburnumvane/core/team"
)

const second = time.Second

// switched is a machine whose room is switched by hand.
func switched(cfg admit.Config) (*admit.Machine[string], *bool) {
	open := false
	cfg.Room = func(time.Duration, int) bool { return open }
	return admit.New[string](cfg), &open
}

func request(cl admit.Class, tm admit.TeamID) admit.Request {
	return admit.Request{Class: cl, Team: tm, Cost: 10, Deadline: 10 * second}
}

// started lists who starts when room comes for n, one after the other.
func started(mc *admit.Machine[string], open *bool, now time.Duration, n int) string {
	out := ""
	for range n {
		*open = true
		for _, gr := range mc.Step(now) {
			if gr.Start {
				out += gr.Waiter
				mc.Begun()
			}
		}
	}
	*open = false
	return out
}

func TestOrder(t *testing.T) {
	type offer struct {
		class admit.Class
		team  admit.TeamID
		name  string
	}
	cases := []struct {
		name   string
		offers []offer
		want   string
	}{
		{
			name: "classes before arrival",
			offers: []offer{
				{admit.Batch, 1, "c"}, {admit.Interactive, 1, "b"}, {admit.Urgent, 1, "a"},
				{admit.Urgent, 1, "A"},
			},
			want: "aAbc",
		},
		{
			name: "teams of a class take turns",
			offers: []offer{
				{admit.Interactive, 1, "1"}, {admit.Interactive, 1, "2"}, {admit.Interactive, 1, "3"},
				{admit.Interactive, 2, "x"}, {admit.Interactive, 2, "y"},
			},
			want: "1x2y3",
		},
		{
			name: "arrival within a team",
			offers: []offer{
				{admit.Batch, 1, "1"}, {admit.Batch, 1, "2"}, {admit.Batch, 1, "3"},
			},
			want: "123",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			mc, open := switched(admit.Config{})
			for _, of := range tc.offers {
				is.Equal(mc.Offer(0, request(of.class, of.team), of.name).Kind, admit.Queued)
			}
			is.Equal(started(mc, open, second, len(tc.offers)), tc.want)
			is.Equal(mc.Waiting(), 0)
		})
	}
}

// Turns are weighted by cost: a team of searches ten times as costly starts a
// tenth as many.
func TestTurnsWeighCost(t *testing.T) {
	is := is.New(t)
	mc, open := switched(admit.Config{})
	for range 100 {
		mc.Offer(0, admit.Request{Class: admit.Batch, Team: 1, Cost: 100, Deadline: 100 * second}, "L")
		mc.Offer(0, admit.Request{Class: admit.Batch, Team: 2, Cost: 10, Deadline: 100 * second}, "s")
	}
	large := 0
	order := started(mc, open, second, 55)
	for _, c := range order {
		if c == 'L' {
			large++
		}
	}
	is.Equal(len(order), 55)
	is.True(large >= 4 && large <= 6)
}

func TestRefusals(t *testing.T) {
	fill := func(mc *admit.Machine[string], n int) {
		for range n {
			mc.Offer(0, request(admit.Interactive, 1), "")
		}
	}
	cases := []struct {
		name   string
		cfg    admit.Config
		before func(mc *admit.Machine[string], open *bool)
		rq     admit.Request
		now    time.Duration
		want   admit.Reason
	}{
		{
			name: "no time is left",
			rq:   admit.Request{Class: admit.Urgent, Cost: 1, Deadline: second},
			now:  second,
			want: admit.ReasonLate,
		},
		{
			name:   "the class's queue is full",
			cfg:    admit.Config{QueueMost: 4, TeamMost: 4},
			before: func(mc *admit.Machine[string], _ *bool) { fill(mc, 4) },
			rq:     request(admit.Interactive, 2),
			want:   admit.ReasonQueue,
		},
		{
			name:   "the team's part of the queue is full",
			cfg:    admit.Config{QueueMost: 8, TeamMost: 4},
			before: func(mc *admit.Machine[string], _ *bool) { fill(mc, 4) },
			rq:     request(admit.Interactive, 1),
			want:   admit.ReasonTeamQueue,
		},
		{
			name: "the wait would take most of the time left",
			before: func(mc *admit.Machine[string], open *bool) {
				fill(mc, 20)
				for i := range 10 {
					started(mc, open, time.Duration(i+1)*100*time.Millisecond, 1)
				}
			},
			rq:   admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: 1500 * time.Millisecond},
			now:  second,
			want: admit.ReasonWait,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			mc, open := switched(tc.cfg)
			if tc.before != nil {
				tc.before(mc, open)
			}
			waiting := mc.Waiting()
			de := mc.Offer(tc.now, tc.rq, "")
			is.Equal(de.Kind, admit.Refused)
			is.Equal(de.Reason, tc.want)
			is.True(de.RetryAfter > 0)
			is.Equal(mc.Waiting(), waiting) // nothing is kept of it
		})
	}
}

// What the caller sees: searches are admitted again as soon as the servers are
// well.
// For a while all searches ran into their deadlines, so each looks as if it
// needed all of its time.
// Why: what a search needs counts for half of its time at most; else all would
// be refused as late, and nothing would show that the fault is over.
func TestSlowSearchesDoNotShutTheDoor(t *testing.T) {
	is := is.New(t)
	mc, open := switched(admit.Config{})
	*open = true
	now := time.Duration(0)
	for range 200 {
		is.Equal(mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind, admit.Admitted)
		mc.Begun()
		now += second
		mc.Done(now, admit.Urgent, second, false)
	}
	is.Equal(mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind, admit.Admitted)
}

// What the caller sees: lower classes wait and are refused first when the VM
// itself is behind, and no longer once it isn't.
// Searches end for want of a worker; the VM's own limit comes down to where it
// can keep up, and up again with each search that ends well.
// Why: the limit follows what ended, at most one cut in a round trip.
func TestOwnLimitAdapts(t *testing.T) {
	is := is.New(t)
	mc := admit.New[string](admit.Config{Room: always, Least: 4, Most: 100})
	now := time.Duration(0)
	fill := func() int {
		n := 0
		for mc.Offer(now, request(admit.Batch, 1), "").Kind == admit.Admitted {
			mc.Begun()
			n++
		}
		return n
	}
	is.Equal(fill(), 80) // four fifths, the rest is for upper classes
	is.Equal(mc.Offer(now, request(admit.Urgent, 1), "").Kind, admit.Admitted)
	mc.Begun()
	drain := func(behind bool) {
		for mc.InFlight() > 0 {
			now += time.Millisecond
			mc.Done(now, admit.Interactive, time.Millisecond, behind)
		}
		for range 1000 {
			mc.Step(now + 20*second) // what waits is too late by then
		}
	}
	drain(true)
	now += 20 * second
	low := 0
	for mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind == admit.Admitted {
		mc.Begun()
		low++
	}
	is.Equal(low, 4)
	for range 20_000 {
		mc.Done(now, admit.Urgent, time.Millisecond, false)
		mc.Step(now + 30*second)
		now += 30 * second
		mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "")
		mc.Begun()
	}
	high := mc.InFlight()
	for mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind == admit.Admitted {
		mc.Begun()
		high++
	}
	is.True(high > 80)
}

func TestClassOf(t *testing.T) {
	is := is.New(t)
	is.Equal(admit.ClassOf(team.ClassUrgent), admit.Urgent)
	is.Equal(admit.ClassOf(team.ClassInteractive), admit.Interactive)
	is.Equal(admit.ClassOf(team.ClassBatch), admit.Batch)
	is.Equal(admit.ClassOf("slip"), admit.Batch)
}

// drawn is a machine whose every event is drawn.
type drawn struct {
	rt      *rapid.T
	mc      *admit.Machine[int]
	open    bool
	now     time.Duration
	latest  time.Duration
	running []admit.Class
	waiting map[int]admit.Decision
	class   map[int]admit.Class
}

const drawnQueue = 6

func (dn *drawn) step() {
	what := rapid.IntRange(0, 4).Draw(dn.rt, "what")
	if what == 3 && len(dn.waiting) == 0 {
		return
	}
	dn.now += time.Duration(rapid.IntRange(-100, 400).Draw(dn.rt, "ms")) * time.Millisecond
	dn.latest = max(dn.latest, dn.now)
	switch what {
	case 0, 1:
		dn.offer()
	case 2:
		if len(dn.running) > 0 {
			dn.done(rapid.Bool().Draw(dn.rt, "behind"))
		}
		dn.grant()
	case 3:
		dn.withdraw()
	case 4:
		dn.open = !dn.open
		dn.grant()
	}
	mc := dn.mc
	if mc.InFlight() != len(dn.running) || mc.Waiting() != len(dn.waiting) || mc.Waiting() > admit.Classes*drawnQueue {
		dn.rt.Fatalf("%d in flight for %d, %d waiting for %d", mc.InFlight(), len(dn.running), mc.Waiting(), len(dn.waiting))
	}
}

func (dn *drawn) offer() {
	rq := admit.Request{
		Class:    admit.Class(rapid.IntRange(0, 2).Draw(dn.rt, "class")),
		Team:     admit.TeamID(rapid.IntRange(0, 2).Draw(dn.rt, "team")),
		Cost:     int32(rapid.IntRange(1, 300).Draw(dn.rt, "cost")),
		Deadline: dn.latest + time.Duration(rapid.IntRange(-10, 2000).Draw(dn.rt, "left"))*time.Millisecond,
	}
	id := len(dn.class) + 1
	dn.class[id] = rq.Class
	de := dn.mc.Offer(dn.now, rq, id)
	switch {
	case de.Kind == admit.Admitted:
		dn.mc.Begun()
		dn.running = append(dn.running, rq.Class)
	case de.Kind == admit.Queued && de.Until <= rq.Deadline:
		dn.waiting[id] = de
	case de.Kind == admit.Refused && de.RetryAfter > 0:
	default:
		dn.rt.Fatalf("%+v got %+v", rq, de)
	}
}

func (dn *drawn) done(behind bool) {
	dn.mc.Done(dn.now, dn.running[0], 50*time.Millisecond, behind)
	dn.running = dn.running[1:]
}

func (dn *drawn) withdraw() {
	for id, de := range dn.waiting {
		if !dn.mc.Withdraw(dn.now, de.Handle) {
			dn.rt.Fatalf("search %d was lost", id)
		}
		if dn.mc.Withdraw(dn.now, de.Handle) {
			dn.rt.Fatalf("search %d was withdrawn twice", id)
		}
		delete(dn.waiting, id)
		return
	}
}

func (dn *drawn) grant() {
	for _, gr := range dn.mc.Step(dn.now) {
		de, ok := dn.waiting[gr.Waiter]
		if !ok {
			dn.rt.Fatalf("search %d got a second verdict", gr.Waiter)
		}
		delete(dn.waiting, gr.Waiter)
		switch {
		case gr.Start && dn.latest >= de.Until:
			dn.rt.Fatalf("search %d started at %v, after %v", gr.Waiter, dn.latest, de.Until)
		case gr.Start:
			dn.mc.Begun()
			dn.running = append(dn.running, dn.class[gr.Waiter])
		case gr.RetryAfter <= 0:
			dn.rt.Fatal("refused without a time to come back")
		}
	}
}

// Whatever is offered, ends, is withdrawn or steps when, and however the clock
// handed in jumps: each search gets one verdict, none starts after the time it
// may start at last, and the queue never holds more than it may.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dn := &drawn{rt: rt, open: true, waiting: map[int]admit.Decision{}, class: map[int]admit.Class{}}
		room := func(time.Duration, int) bool { return dn.open }
		dn.mc = admit.New[int](admit.Config{Room: room, QueueMost: drawnQueue, TeamMost: 3, Most: 8})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			dn.step()
		}
		dn.open = true
		for len(dn.running) > 0 {
			dn.done(false)
			dn.grant()
		}
		dn.latest += time.Hour
		dn.now = dn.latest
		dn.grant()
		if len(dn.waiting) > 0 {
			rt.Fatalf("%d searches wait for ever", len(dn.waiting))
		}
	})
}
