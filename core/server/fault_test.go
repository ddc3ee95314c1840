package server_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
)

func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		name   string
		last   bool
		events []timedEvent
		state  view.State
		why    string
	}{
		// The server gets no more work after the first reply that announces its drain, although its
		// health endpoint lags by ten seconds and still reports it healthy.
		{"health endpoint reports healthy after a drain", false, []timedEvent{
			{0, good(1, 1)}, {ms, says(1, server.ReportedDraining)}, {2 * ms, hint(1, server.ReportedServing)},
			{3 * ms, good(1, 50)}, {4 * ms, probed(1)},
		}, view.StateDraining, server.WhyReplyLeaving},
		// Another VM has seen the drain; this one has no traffic to the server and applies the
		// other's sign.
		{"drain seen by another VM", false, []timedEvent{
			{0, good(4, 1)}, {ms, signed(4, server.SignLeaving)}, {2 * ms, good(4, 9)},
		}, view.StateDraining, server.WhySignLeaving},
		// A delayed reply of the old process announces its drain after the new process was seen.
		// The new process must still be used.
		{"late drain of the old incarnation", false, []timedEvent{
			{0, good(1, 1)}, {ms, good(2, 1)}, {2 * ms, says(1, server.ReportedDraining)}, {3 * ms, signed(1, server.SignLeaving)},
		}, view.StateCold, server.WhyNewIncarnation},
		// The new process is leaving. Late successful replies of the old one must not bring it new
		// work.
		{"late successes of the old incarnation", false, []timedEvent{
			{0, good(1, 1)}, {ms, says(2, server.ReportedDraining)}, {2 * ms, good(1, 9)}, {3 * ms, hint(1, server.ReportedServing)},
		}, view.StateDraining, server.WhyReplyLeaving},
		// Many timeouts, as in an overload, make a server suspect; without failed probes it never
		// becomes gone, so no replica is lost.
		{"wave of timeouts", false, []timedEvent{
			{0, good(1, 1)}, {ms, fail(500)}, {900 * ms, probed(1)}, {910 * ms, fail(500)},
		}, view.StateSuspect, server.WhyFailures},
		// The last replica of a shard is still tried, because the shard would otherwise certainly
		// be missing.
		{"a shard's last replica", true, []timedEvent{
			{0, good(1, 1)}, {ms, fail(5)}, {300 * ms, probeFailed}, {700 * ms, probeFailed}, {800 * ms, fail(5)},
		}, view.StateSuspect, server.WhyLastReplica},
		// The server answers most requests with fast errors. Every third request succeeds, so that
		// there are never three failures in a row, but the failure score makes it suspect.
		{"fast errors between good replies", false, []timedEvent{
			{0, good(1, 1)}, {1 * ms, fail(2)}, {2 * ms, good(1, 1)}, {3 * ms, fail(2)}, {4 * ms, good(1, 1)},
			{5 * ms, fail(2)}, {6 * ms, good(1, 1)}, {7 * ms, fail(2)},
		}, view.StateSuspect, server.WhyFailures},
		// One VM cannot reach the server and sends a sign. This one can, and keeps using it.
		{"another VM cannot reach the server", false, []timedEvent{
			{0, good(1, 1)}, {ms, signed(1, server.SignUnreachable)}, {200 * ms, probed(1)},
		}, view.StateServing, server.WhyReplies},
		// The server's incarnations restart at a lower number, as after a clock was set back. It is
		// accepted, because the probe that it answers was sent after it was gone, so the answer
		// cannot be a delayed one.
		{"incarnations restart at a lower number", false, []timedEvent{
			{0, good(9, 1)}, {ms, fail(5)}, {300 * ms, probeFailed}, {700 * ms, probeFailed}, {710 * ms, fail(1)},
			{2 * time.Second, probed(3)},
		}, view.StateCold, server.WhyNewIncarnation},
		// The load endpoint cannot be read once. One failure proves nothing.
		{"one failed hint", false, []timedEvent{{0, good(1, 1)}, {ms, fail(1)}}, view.StateServing, server.WhyReplies},
		// A server that reports to be cold is ramped up, not left unused.
		{"reports that it is cold", false, []timedEvent{
			{0, says(1, server.ReportedCold)}, {ms, server.Event{Kind: server.Reply, Incarnation: 1, Reported: server.ReportedCold, Cold: 3}},
		}, view.StateCold, server.WhyReportsCold},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			st := newRunner(tt.last).run(tt.events)
			is.Equal(st.State, tt.state)
			is.Equal(st.Why, tt.why)
		})
	}
}

func drawEvent(rt *rapid.T) server.Event {
	return server.Event{
		Kind:        server.Kind(rapid.IntRange(int(server.Reply), int(server.Wake)).Draw(rt, "kind")),
		Incarnation: uint64(rapid.IntRange(0, 4).Draw(rt, "incarnation")),
		Reported:    server.ReportedState(rapid.IntRange(0, 3).Draw(rt, "says")),
		Good:        rapid.IntRange(0, 5).Draw(rt, "good"),
		Shed:        rapid.IntRange(0, 5).Draw(rt, "shed"),
		Cold:        rapid.IntRange(0, 1).Draw(rt, "cold"),
		Failed:      rapid.IntRange(0, 5).Draw(rt, "failed"),
		Probe:       rapid.Bool().Draw(rt, "probe"),
		Sign:        server.SignKind(rapid.IntRange(1, 3).Draw(rt, "sign")),
	}
}

// saysLeaving reports, independently of the table, whether an event announces that the server
// leaves.
func saysLeaving(ev server.Event) bool {
	switch ev.Kind {
	case server.Reply, server.Hint:
		return ev.Reported == server.ReportedDraining
	case server.SignReceived:
		return ev.Sign == server.SignLeaving && ev.Incarnation > 0
	default:
		return false
	}
}

// leavingModel is the reference model: it keeps only the announcements, and no server states.
type leavingModel struct {
	left      map[uint64]bool
	listed    bool
	goneSince time.Duration
}

// beforeStep records an event; st is the status before the step.
func (mo *leavingModel) beforeStep(ev server.Event, st server.Status) {
	switch ev.Kind {
	case server.Removed:
		mo.listed = false
	case server.Listed:
		mo.listed = true
	}
	if !saysLeaving(ev) || ev.Incarnation != 0 && ev.Incarnation < st.Incarnation {
		return
	}
	incarnation := ev.Incarnation
	if incarnation == 0 {
		incarnation = st.Incarnation
	}
	mo.left[incarnation] = true
}

// afterStep records a change of the server's incarnation.
func (mo *leavingModel) afterStep(rt *rapid.T, now time.Duration, ev server.Event, before, st server.Status) {
	if st.Incarnation < before.Incarnation {
		if mo.left[before.Incarnation] && now-mo.goneSince < time.Minute {
			rt.Fatalf("%+v: lower incarnation accepted after %v", st, now-mo.goneSince)
		}
		// The incarnations have restarted; their numbers are reused.
		maps.DeleteFunc(mo.left, func(incarnation uint64, _ bool) bool { return incarnation >= st.Incarnation })
		if saysLeaving(ev) {
			mo.left[st.Incarnation] = true
		}
	}
	if before.Incarnation == 0 && mo.left[0] {
		// An announcement without incarnation applies to the first one.
		mo.left[st.Incarnation] = true
	}
	if st.State != view.StateGone {
		mo.goneSince = now
	}
}

func (mo *leavingModel) check(rt *rapid.T, st server.Status) {
	mustLeave := !mo.listed || mo.left[st.Incarnation]
	if mustLeave && (!st.State.Leaving() || st.Weight != 0) {
		rt.Fatalf("%+v: takes work although the server leaves or is removed", st)
	}
	if !mustLeave && st.State == view.StateDraining {
		rt.Fatalf("%+v: draining without an announcement", st)
	}
	if !st.State.Leaving() && (st.Weight <= 0 || st.Weight > 1) {
		rt.Fatalf("%+v: weight out of bounds", st)
	}
}

// Sub-requests are never sent to a process that has announced that it leaves: in any order of
// events, no later event of the same incarnation makes the server take work. A configured server
// whose incarnation has not been announced as leaving is never shown as draining.
func TestLeavingWinsUntilNewIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := server.New(server.Config{Rand: rand.New(rand.NewPCG(1, 1))})
		tb.Add(0, addr)
		mo := &leavingModel{left: map[uint64]bool{}, listed: true}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 30_000).Draw(rt, "pause")) * ms
			tb.Wake(now)
			ev := drawEvent(rt)
			before := tb.Status(0)
			mo.beforeStep(ev, before)
			tb.Step(now, 0, ev)
			mo.afterStep(rt, now, ev, before, tb.Status(0))
			mo.check(rt, tb.Status(0))
		}
	})
}

// Coverage is preserved: whatever fails, a server that is the last live replica of a shard and has
// not announced that it leaves is still tried.
func TestLastReplicaIsNeverGone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := server.New(server.Config{
			Rand:          rand.New(rand.NewPCG(1, 1)),
			IsLastReplica: func(view.ServerID) bool { return true },
		})
		tb.Add(0, addr)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * ms
			tb.Wake(now)
			ev := drawEvent(rt)
			if saysLeaving(ev) || ev.Kind == server.Removed {
				continue
			}
			tb.Step(now, 0, ev)
			if tb.Status(0).State.Leaving() {
				rt.Fatalf("%+v", tb.Status(0))
			}
		}
	})
}

// A VM sends few probes to a server that is down: the interval doubles up to eight seconds, with
// jitter.
func TestProbesBackOff(t *testing.T) {
	is := is.New(t)
	rn := newRunner(false)
	rn.run([]timedEvent{{0, good(1, 1)}, {ms, fail(5)}})
	probes, lastAt := 0, time.Duration(0)
	for {
		at, ok := rn.tb.Next()
		is.True(ok) // a gone server is always probed again
		if at > 5*time.Minute {
			break
		}
		is.True(at-lastAt <= 8*time.Second)
		lastAt = at
		for _, ac := range rn.tb.Wake(at) {
			if ac.Kind == server.Probe {
				probes++
				rn.tb.Step(at, 0, probeFailed)
				break
			}
		}
	}
	is.Equal(rn.tb.Status(0).State, view.StateGone)
	is.True(probes >= 300/8)
	is.True(probes <= 300/4+6)
}

// A leaving sign is forwarded once: the same sign from other VMs is not forwarded again, and a sign
// of an unknown server never is.
func TestSignIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	rn := newRunner(false)
	rn.run([]timedEvent{{0, good(1, 1)}})
	sg := server.Sign{Addr: addr, Incarnation: 1, Kind: server.SignLeaving}
	is.Equal(rn.tb.StepSign(ms, sg), []server.Action{{Kind: server.Publish}, {Kind: server.SendSign, Sign: sg}})
	is.Equal(len(rn.tb.StepSign(2*ms, sg)), 0)
	is.Equal(len(rn.tb.StepSign(3*ms, server.Sign{Addr: "10.9.9.9:1", Incarnation: 1, Kind: server.SignLeaving})), 0)
}
