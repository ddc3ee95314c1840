package drain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumvane/core/drain"
	"laburnumvane/internal/golden"
)

type timedEvent struct {
	sec float64
	ev  drain.Event
}

// scenarios are complete stops, with a Tick inserted wherever one is due. Their output is compared
// with the golden files.
var scenarios = []struct {
	name   string
	events []timedEvent
}{
	{"nothingInFlight", []timedEvent{{0, drain.Booted{}}, {10, drain.Signal{}}, {15.1, drain.CallersClosed{}}}},
	{"searchInFlight", []timedEvent{
		{0, drain.Booted{}}, {10, drain.Load{InFlight: 2}}, {10, drain.Signal{}},
		{16, drain.Load{InFlight: 1}}, {20, drain.CallersClosed{}}, {21, drain.Load{}},
	}},
	{"signalTwice", []timedEvent{{0, drain.Booted{}}, {10, drain.Signal{}}, {11, drain.Signal{}}, {15.1, drain.CallersClosed{}}, {16, drain.Signal{}}}},
	{"signalDuringBoot", []timedEvent{{0, drain.Signal{}}, {1, drain.Signal{}}, {2, drain.Booted{}}, {2.1, drain.CallersClosed{}}}},
	{"bootFails", []timedEvent{{0, drain.Signal{}}, {1, drain.BootFailed{}}}},
	{"searchLongerThanGrace", []timedEvent{{0, drain.Booted{}}, {10, drain.Load{InFlight: 1}}, {10, drain.Signal{}}, {90, drain.Load{}}}},
	{"ticketsExpire", []timedEvent{
		{0, drain.Booted{}}, {10, drain.Load{TicketsUntil: 40 * time.Second}}, {10, drain.Signal{}}, {15.1, drain.CallersClosed{}},
		{30, drain.Load{InFlight: 1, TicketsUntil: 40 * time.Second}}, {45, drain.Load{TicketsUntil: 40 * time.Second}},
	}},
	{"ticketsOutliveGrace", []timedEvent{
		{0, drain.Booted{}}, {10, drain.Load{TicketsUntil: 400 * time.Second}}, {10, drain.Signal{}}, {15.1, drain.CallersClosed{}}, {100, drain.Tick{}},
	}},
	{"clientHoldsConnection", []timedEvent{{0, drain.Booted{}}, {10, drain.Signal{}}, {100, drain.Tick{}}}},
	{"graceEndedEarly", []timedEvent{{0, drain.Booted{}}, {10, drain.Load{InFlight: 3}}, {10, drain.Signal{}}, {12, drain.Expire{}}}},
}

func TestScenarios(t *testing.T) {
	for _, tt := range scenarios {
		t.Run(tt.name, func(t *testing.T) {
			got := run(tt.events)
			golden.Check(t, tt.name, got)
		})
	}
}

func run(events []timedEvent) string {
	ma := drain.New(drain.Config{BalancerLag: 5 * time.Second, Grace: 70 * time.Second})
	var out strings.Builder
	step := func(now time.Duration, ev drain.Event) {
		acts := ma.Step(now, ev)
		fmt.Fprintf(&out, "%7.1fs %-40s -> %s\n", now.Seconds(), strings.TrimPrefix(fmt.Sprintf("%T%+v", ev, ev), "drain."), ma.Phase())
		for _, ac := range acts {
			fmt.Fprintf(&out, "             %s", ac.Kind)
			if ac.Kind == drain.ActExit {
				fmt.Fprintf(&out, " code %d, cut off %d", ac.Code, ac.Cut)
			}
			out.WriteString("\n")
		}
	}
	for _, ev := range events {
		now := time.Duration(ev.sec * float64(time.Second))
		for due, ok := ma.Wake(); ok && due < now; due, ok = ma.Wake() {
			before := ma.Phase()
			step(due, drain.Tick{})
			if ma.Phase() == before {
				break
			}
		}
		step(now, ev.ev)
	}
	return out.String()
}

// Under any order of events: the health check fails before the listeners close, there is at most
// one exit, no later than the end of the grace, and its code is 0 only if nothing was cut off.
func TestInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drain.Config{BalancerLag: 5 * time.Second, Grace: 70 * time.Second}
		ma := drain.New(cfg)
		var now, signalled time.Duration
		stopping := false
		var seen []drain.Action
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			var ev drain.Event
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				ev = drain.Booted{}
			case 1:
				ev = drain.Signal{}
			case 2:
				ev = drain.Load{InFlight: rapid.IntRange(0, 2).Draw(t, "n"), TicketsUntil: time.Duration(rapid.IntRange(0, 200).Draw(t, "until")) * time.Second}
			case 3:
				ev = drain.CallersClosed{}
			default:
				ev = drain.Tick{}
			}
			acts := ma.Step(now, ev)
			if !stopping && len(acts) > 0 && acts[0].Kind == drain.ActFailHealth {
				stopping, signalled = true, now
			}
			if stopping && now >= signalled+cfg.Grace && ma.Phase() != drain.PhaseStopped {
				t.Fatalf("still in phase %v after the grace", ma.Phase())
			}
			seen = append(seen, acts...)
		}
		checkActions(t, seen)
	})
}

func checkActions(t *rapid.T, seen []drain.Action) {
	healthFailed, aborted, exits := false, false, 0
	for _, ac := range seen {
		switch ac.Kind {
		case drain.ActFailHealth:
			healthFailed = true
		case drain.ActCloseCallers:
			if !healthFailed {
				t.Fatal("listeners closed before the health check failed")
			}
		case drain.ActAbort:
			aborted = true
		case drain.ActExit:
			exits++
			if (ac.Code == 0) == aborted {
				t.Fatalf("exit code %d, requests cut off: %v", ac.Code, aborted)
			}
		}
	}
	if exits > 1 {
		t.Fatal("more than one exit")
	}
}
