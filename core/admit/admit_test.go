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

// newSwitchable returns a machine and a switch that sets whether there is capacity.
func newSwitchable(cfg admit.Config) (*admit.Machine[string], *bool) {
	available := false
	cfg.HasCapacity = func(time.Duration, int) bool { return available }
	return admit.New[string](cfg), &available
}

func request(cl admit.Class, tm admit.TeamID) admit.Request {
	return admit.Request{Class: cl, Team: tm, Cost: 10, Deadline: 10 * second}
}

// startOrder returns the concatenated names of the searches that start when there is
// capacity n times.
func startOrder(mc *admit.Machine[string], available *bool, now time.Duration, n int) string {
	out := ""
	for range n {
		*available = true
		for _, gr := range mc.Step(now) {
			if gr.Start {
				out += gr.Waiter
				mc.ConfirmStart()
			}
		}
	}
	*available = false
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
			name: "higher classes first",
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
			name: "arrival order within a team",
			offers: []offer{
				{admit.Batch, 1, "1"}, {admit.Batch, 1, "2"}, {admit.Batch, 1, "3"},
			},
			want: "123",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			mc, available := newSwitchable(admit.Config{})
			for _, of := range tc.offers {
				is.Equal(mc.Offer(0, request(of.class, of.team), of.name).Kind, admit.Queued)
			}
			is.Equal(startOrder(mc, available, second, len(tc.offers)), tc.want)
			is.Equal(mc.Waiting(), 0)
		})
	}
}

// Turns are weighted by cost: a team whose searches cost ten times as much starts a
// tenth as many.
func TestTurnsAreWeightedByCost(t *testing.T) {
	is := is.New(t)
	mc, available := newSwitchable(admit.Config{})
	for range 100 {
		mc.Offer(0, admit.Request{Class: admit.Batch, Team: 1, Cost: 100, Deadline: 100 * second}, "L")
		mc.Offer(0, admit.Request{Class: admit.Batch, Team: 2, Cost: 10, Deadline: 100 * second}, "s")
	}
	large := 0
	order := startOrder(mc, available, second, 55)
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
		before func(mc *admit.Machine[string], available *bool)
		rq     admit.Request
		now    time.Duration
		want   admit.Reason
	}{
		{
			name: "no time is left",
			rq:   admit.Request{Class: admit.Urgent, Cost: 1, Deadline: second},
			now:  second,
			want: admit.ReasonDeadlineTooClose,
		},
		{
			name:   "the queue of the class is full",
			cfg:    admit.Config{MaxQueue: 4, MaxTeamQueue: 4},
			before: func(mc *admit.Machine[string], _ *bool) { fill(mc, 4) },
			rq:     request(admit.Interactive, 2),
			want:   admit.ReasonQueueFull,
		},
		{
			name:   "the team's part of the queue is full",
			cfg:    admit.Config{MaxQueue: 8, MaxTeamQueue: 4},
			before: func(mc *admit.Machine[string], _ *bool) { fill(mc, 4) },
			rq:     request(admit.Interactive, 1),
			want:   admit.ReasonTeamQueueFull,
		},
		{
			name: "the wait would take most of the time left",
			before: func(mc *admit.Machine[string], available *bool) {
				fill(mc, 20)
				for i := range 10 {
					startOrder(mc, available, time.Duration(i+1)*100*time.Millisecond, 1)
				}
			},
			rq:   admit.Request{Class: admit.Interactive, Team: 1, Cost: 10, Deadline: 1500 * time.Millisecond},
			now:  second,
			want: admit.ReasonWaitTooLong,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			mc, available := newSwitchable(tc.cfg)
			if tc.before != nil {
				tc.before(mc, available)
			}
			waiting := mc.Waiting()
			de := mc.Offer(tc.now, tc.rq, "")
			is.Equal(de.Kind, admit.Refused)
			is.Equal(de.Reason, tc.want)
			is.True(de.RetryAfter > 0)
			is.Equal(mc.Waiting(), waiting) // a refused search is not queued
		})
	}
}

// After a fault during which all searches reached their deadlines, the expected
// duration of a search is its whole time. If it were used as it is, all later
// searches would be refused as too late, and nothing would show that the servers
// have recovered. It therefore counts for at most half of the time left, and
// searches are admitted.
func TestSlowSearchesDoNotBlockAdmission(t *testing.T) {
	is := is.New(t)
	mc, available := newSwitchable(admit.Config{})
	*available = true
	now := time.Duration(0)
	for range 200 {
		is.Equal(mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind, admit.Admitted)
		mc.ConfirmStart()
		now += second
		mc.Done(now, admit.Urgent, second, false)
	}
	is.Equal(mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind, admit.Admitted)
}

// When the VM itself cannot keep up, because searches end without a free worker, its
// own limit decreases to MinLimit, and lower classes wait and are refused first. The
// limit increases again with the searches that end well. It follows only the ends of
// searches, with at most one decrease in the duration of a search.
func TestVMLimitAdapts(t *testing.T) {
	is := is.New(t)
	mc := admit.New[string](admit.Config{HasCapacity: alwaysCapacity, MinLimit: 4, MaxLimit: 100})
	now := time.Duration(0)
	fill := func() int {
		n := 0
		for mc.Offer(now, request(admit.Batch, 1), "").Kind == admit.Admitted {
			mc.ConfirmStart()
			n++
		}
		return n
	}
	is.Equal(fill(), 80) // four fifths; the rest is reserved for higher classes
	is.Equal(mc.Offer(now, request(admit.Urgent, 1), "").Kind, admit.Admitted)
	mc.ConfirmStart()
	drain := func(behind bool) {
		for mc.InFlight() > 0 {
			now += time.Millisecond
			mc.Done(now, admit.Interactive, time.Millisecond, behind)
		}
		for range 1000 {
			mc.Step(now + 20*second) // queued searches can no longer start in time
		}
	}
	drain(true)
	now += 20 * second
	low := 0
	for mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind == admit.Admitted {
		mc.ConfirmStart()
		low++
	}
	is.Equal(low, 4)
	for range 20_000 {
		mc.Done(now, admit.Urgent, time.Millisecond, false)
		mc.Step(now + 30*second)
		now += 30 * second
		mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "")
		mc.ConfirmStart()
	}
	high := mc.InFlight()
	for mc.Offer(now, admit.Request{Class: admit.Urgent, Cost: 1, Deadline: now + second}, "").Kind == admit.Admitted {
		mc.ConfirmStart()
		high++
	}
	is.True(high > 80)
}

func TestClassOf(t *testing.T) {
	is := is.New(t)
	is.Equal(admit.ClassOf(team.ClassUrgent), admit.Urgent)
	is.Equal(admit.ClassOf(team.ClassInteractive), admit.Interactive)
	is.Equal(admit.ClassOf(team.ClassBatch), admit.Batch)
	is.Equal(admit.ClassOf("unknown"), admit.Batch)
}

// randomRun is a machine under a random sequence of calls, and the state expected.
type randomRun struct {
	rt        *rapid.T
	mc        *admit.Machine[int]
	available bool
	now       time.Duration
	latest    time.Duration
	running   []admit.Class
	waiting   map[int]admit.Decision
	class     map[int]admit.Class
}

const randomRunMaxQueue = 6

func (rr *randomRun) step() {
	action := rapid.IntRange(0, 4).Draw(rr.rt, "action")
	if action == 3 && len(rr.waiting) == 0 {
		return
	}
	rr.now += time.Duration(rapid.IntRange(-100, 400).Draw(rr.rt, "ms")) * time.Millisecond
	rr.latest = max(rr.latest, rr.now)
	switch action {
	case 0, 1:
		rr.offer()
	case 2:
		if len(rr.running) > 0 {
			rr.done(rapid.Bool().Draw(rr.rt, "behind"))
		}
		rr.grant()
	case 3:
		rr.withdraw()
	case 4:
		rr.available = !rr.available
		rr.grant()
	}
	mc := rr.mc
	if mc.InFlight() != len(rr.running) || mc.Waiting() != len(rr.waiting) || mc.Waiting() > admit.Classes*randomRunMaxQueue {
		rr.rt.Fatalf("%d in flight for %d, %d waiting for %d", mc.InFlight(), len(rr.running), mc.Waiting(), len(rr.waiting))
	}
}

func (rr *randomRun) offer() {
	rq := admit.Request{
		Class:    admit.Class(rapid.IntRange(0, 2).Draw(rr.rt, "class")),
		Team:     admit.TeamID(rapid.IntRange(0, 2).Draw(rr.rt, "team")),
		Cost:     int32(rapid.IntRange(1, 300).Draw(rr.rt, "cost")),
		Deadline: rr.latest + time.Duration(rapid.IntRange(-10, 2000).Draw(rr.rt, "left"))*time.Millisecond,
	}
	id := len(rr.class) + 1
	rr.class[id] = rq.Class
	de := rr.mc.Offer(rr.now, rq, id)
	switch {
	case de.Kind == admit.Admitted:
		rr.mc.ConfirmStart()
		rr.running = append(rr.running, rq.Class)
	case de.Kind == admit.Queued && de.StartBy <= rq.Deadline:
		rr.waiting[id] = de
	case de.Kind == admit.Refused && de.RetryAfter > 0:
	default:
		rr.rt.Fatalf("%+v got %+v", rq, de)
	}
}

func (rr *randomRun) done(behind bool) {
	rr.mc.Done(rr.now, rr.running[0], 50*time.Millisecond, behind)
	rr.running = rr.running[1:]
}

func (rr *randomRun) withdraw() {
	for id, de := range rr.waiting {
		if !rr.mc.Withdraw(rr.now, de.Handle) {
			rr.rt.Fatalf("queued search %d could not be withdrawn", id)
		}
		if rr.mc.Withdraw(rr.now, de.Handle) {
			rr.rt.Fatalf("search %d was withdrawn twice", id)
		}
		delete(rr.waiting, id)
		return
	}
}

func (rr *randomRun) grant() {
	for _, gr := range rr.mc.Step(rr.now) {
		de, ok := rr.waiting[gr.Waiter]
		if !ok {
			rr.rt.Fatalf("search %d got a second decision", gr.Waiter)
		}
		delete(rr.waiting, gr.Waiter)
		switch {
		case gr.Start && rr.latest >= de.StartBy:
			rr.rt.Fatalf("search %d started at %v, after %v", gr.Waiter, rr.latest, de.StartBy)
		case gr.Start:
			rr.mc.ConfirmStart()
			rr.running = append(rr.running, rr.class[gr.Waiter])
		case gr.RetryAfter <= 0:
			rr.rt.Fatal("refused without RetryAfter")
		}
	}
}

// Whatever the order of calls, and even if the time passed in jumps back: each search
// gets exactly one decision, none starts after Decision.StartBy, and no queue exceeds its
// limit.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rr := &randomRun{rt: rt, available: true, waiting: map[int]admit.Decision{}, class: map[int]admit.Class{}}
		hasCapacity := func(time.Duration, int) bool { return rr.available }
		rr.mc = admit.New[int](admit.Config{HasCapacity: hasCapacity, MaxQueue: randomRunMaxQueue, MaxTeamQueue: 3, MaxLimit: 8})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			rr.step()
		}
		rr.available = true
		for len(rr.running) > 0 {
			rr.done(false)
			rr.grant()
		}
		rr.latest += time.Hour
		rr.now = rr.latest
		rr.grant()
		if len(rr.waiting) > 0 {
			rt.Fatalf("%d searches never got a decision", len(rr.waiting))
		}
	})
}
