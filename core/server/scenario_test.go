package server_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
	"laburnumvane/internal/golden"
)

const (
	ms   = time.Millisecond
	addr = "10.0.0.7:9000"
)

// timedEvent is an event of a scenario and its time.
type timedEvent struct {
	at time.Duration
	ev server.Event
}

func good(incarnation uint64, n int) server.Event {
	return server.Event{Kind: server.Reply, Incarnation: incarnation, Reported: server.ReportedServing, Good: n}
}

func says(incarnation uint64, sy server.ReportedState) server.Event {
	return server.Event{Kind: server.Reply, Incarnation: incarnation, Reported: sy}
}

func hint(incarnation uint64, sy server.ReportedState) server.Event {
	return server.Event{Kind: server.Hint, Incarnation: incarnation, Reported: sy}
}

func probed(incarnation uint64) server.Event {
	return server.Event{Kind: server.Hint, Incarnation: incarnation, Reported: server.ReportedServing, Probe: true}
}

func fail(n int) server.Event {
	return server.Event{Kind: server.Failure, Failed: n}
}

func signed(incarnation uint64, sk server.SignKind) server.Event {
	return server.Event{Kind: server.SignReceived, Incarnation: incarnation, Sign: sk}
}

var (
	probeFailed = server.Event{Kind: server.Failure, Probe: true}
	removed     = server.Event{Kind: server.Removed}
	listed      = server.Event{Kind: server.Listed}
)

// runner steps one server through events, with the wakes due between them, and records the output.
type runner struct {
	tb  *server.Table
	out strings.Builder
}

func newRunner(last bool) *runner {
	tb := server.New(server.Config{
		Rand:          rand.New(rand.NewPCG(1, 1)),
		IsLastReplica: func(view.ServerID) bool { return last },
	})
	tb.Add(0, addr)
	return &runner{tb: tb}
}

func (rn *runner) run(events []timedEvent) server.Status {
	for _, te := range events {
		rn.wakeUntil(te.at)
		fmt.Fprintf(&rn.out, "%v in %s\n", te.at, describe(te.ev))
		rn.write(te.at, rn.tb.Step(te.at, 0, te.ev))
	}
	return rn.tb.Status(0)
}

// wakeUntil handles every wake that is due before at.
func (rn *runner) wakeUntil(at time.Duration) {
	for {
		next, ok := rn.tb.Next()
		if !ok || next > at {
			return
		}
		rn.write(next, rn.tb.Wake(next))
	}
}

func (rn *runner) write(at time.Duration, actions []server.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case server.Publish:
			st := rn.tb.Status(0)
			fmt.Fprintf(&rn.out, "%v out %s weight=%.3f incarnation=%d: %s\n", at.Round(ms), st.State, st.Weight, st.Incarnation, st.Why)
		case server.Probe:
			fmt.Fprintf(&rn.out, "%v out probe\n", at.Round(ms))
		case server.SendSign:
			fmt.Fprintf(&rn.out, "%v out spread %s incarnation=%d\n", at.Round(ms), ac.Sign.Kind, ac.Sign.Incarnation)
		}
	}
}

func describe(ev server.Event) string {
	kinds := [...]string{"reply", "failure", "hint", "sign", "removed", "listed", "wake"}
	words := [...]string{"", " cold", " serving", " draining"}
	text := kinds[ev.Kind] + words[ev.Reported]
	if ev.Kind == server.SignReceived {
		text += " " + ev.Sign.String()
	}
	if ev.Probe {
		text += " probe"
	}
	for _, one := range []struct {
		name string
		n    int
	}{{"incarnation", int(ev.Incarnation)}, {"good", ev.Good}, {"shed", ev.Shed}, {"cold", ev.Cold}, {"failed", ev.Failed}} {
		if one.n > 0 {
			text += fmt.Sprintf(" %s=%d", one.name, one.n)
		}
	}
	return text
}

func TestScenarios(t *testing.T) {
	for _, tt := range []struct {
		name   string
		events []timedEvent
		end    time.Duration
	}{
		{"drain", []timedEvent{
			{0, good(1, 1)}, {100 * ms, says(1, server.ReportedDraining)}, {200 * ms, good(1, 5)},
			{300 * ms, hint(1, server.ReportedServing)}, {2500 * ms, probed(1)}, {9 * time.Second, probeFailed},
			{15 * time.Second, probeFailed}, {30 * time.Second, probed(2)}, {31 * time.Second, good(2, 3)},
			{33 * time.Second, good(2, 9)}, {36 * time.Second, good(2, 9)},
		}, 40 * time.Second},
		{"crash", []timedEvent{
			{0, good(1, 1)}, {100 * ms, fail(2)}, {120 * ms, fail(2)}, {300 * ms, probeFailed}, {600 * ms, probeFailed},
			{900 * ms, fail(1)}, {1100 * ms, probeFailed}, {4 * time.Second, probed(2)}, {4100 * ms, good(2, 4)},
		}, 7 * time.Second},
		{"shedWave", []timedEvent{
			{0, good(1, 1)}, {100 * ms, server.Event{Kind: server.Reply, Incarnation: 1, Good: 2, Shed: 2}},
			{200 * ms, server.Event{Kind: server.Reply, Incarnation: 1, Good: 2, Shed: 2}},
			{400 * ms, server.Event{Kind: server.Reply, Incarnation: 1, Shed: 9}}, {600 * ms, good(1, 9)},
		}, 5 * time.Second},
		{"removedAndBack", []timedEvent{
			{0, good(1, 1)}, {time.Second, removed}, {1100 * ms, good(1, 4)}, {5 * time.Second, listed}, {6 * time.Second, good(1, 4)},
		}, 9 * time.Second},
		{"suspectOfIdleVM", []timedEvent{
			{0, good(1, 1)}, {100 * ms, fail(3)}, {300 * ms, probed(1)}, {600 * ms, probed(1)}, {1200 * ms, probed(1)},
		}, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rn := newRunner(false)
			rn.run(tt.events)
			rn.wakeUntil(tt.end)
			golden.Check(t, tt.name, rn.out.String())
		})
	}
}
