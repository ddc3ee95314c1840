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

// Whatever is offered, ends, is withdrawn or steps when, and however the clock
// handed in jumps: each search gets one verdict, none starts after the time it
// may start at last, and the queue never holds more than it may.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const queueMost = 6
		open := true
		mc := admit.New[int](admit.Config{Room: func(time.Duration, int) bool { return open }, QueueMost: queueMost, TeamMost: 3, Most: 8})
		now, latest := time.Duration(0), time.Duration(0)
		running := []admit.Class{}
		waiting := map[int]admit.Decision{}
		class := map[int]admit.Class{}
		next := 0
		grant := func() {
			for _, gr := range mc.Step(now) {
				de, ok := waiting[gr.Waiter]
				if !ok {
					rt.Fatalf("search %d got a second verdict", gr.Waiter)
				}
				delete(waiting, gr.Waiter)
				if gr.Start {
					if latest >= de.Until {
						rt.Fatalf("search %d started at %v, after %v", gr.Waiter, latest, de.Until)
					}
					mc.Begun()
					running = append(running, class[gr.Waiter])
				} else if gr.RetryAfter <= 0 {
					rt.Fatal("refused without a time to come back")
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			what := rapid.IntRange(0, 4).Draw(rt, "what")
			if what == 3 && len(waiting) == 0 {
				continue
			}
			now += time.Duration(rapid.IntRange(-100, 400).Draw(rt, "ms")) * time.Millisecond
			latest = max(latest, now)
			switch what {
			case 0, 1:
				cl := admit.Class(rapid.IntRange(0, 2).Draw(rt, "class"))
				rq := admit.Request{
					Class:    cl,
					Team:     admit.TeamID(rapid.IntRange(0, 2).Draw(rt, "team")),
					Cost:     int32(rapid.IntRange(1, 300).Draw(rt, "cost")),
					Deadline: latest + time.Duration(rapid.IntRange(-10, 2000).Draw(rt, "left"))*time.Millisecond,
				}
				next++
				class[next] = cl
				switch de := mc.Offer(now, rq, next); de.Kind {
				case admit.Admitted:
					mc.Begun()
					running = append(running, cl)
				case admit.Queued:
					if de.Until > rq.Deadline {
						rt.Fatal("may wait beyond its deadline")
					}
					waiting[next] = de
				case admit.Refused:
					if de.RetryAfter <= 0 {
						rt.Fatal("refused without a time to come back")
					}
				}
			case 2:
				if len(running) > 0 {
					mc.Done(now, running[0], 50*time.Millisecond, rapid.Bool().Draw(rt, "behind"))
					running = running[1:]
				}
				grant()
			case 3:
				for id, de := range waiting {
					if !mc.Withdraw(now, de.Handle) {
						rt.Fatalf("search %d was lost", id)
					}
					if mc.Withdraw(now, de.Handle) {
						rt.Fatalf("search %d was withdrawn twice", id)
					}
					delete(waiting, id)
					break
				}
			case 4:
				open = !open
				grant()
			}
			if mc.InFlight() != len(running) || mc.Waiting() != len(waiting) || mc.Waiting() > 3*queueMost {
				rt.Fatalf("%d in flight for %d, %d waiting for %d", mc.InFlight(), len(running), mc.Waiting(), len(waiting))
			}
		}
		open = true
		for len(running) > 0 {
			mc.Done(now, running[0], time.Millisecond, false)
			running = running[1:]
			grant()
		}
		now = latest + time.Hour
		latest = now
		grant()
		if len(waiting) > 0 {
			rt.Fatalf("%d searches wait for ever", len(waiting))
		}
	})
}
