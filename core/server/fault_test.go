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
		name  string
		last  bool
		lines []line
		state view.State
		why   string
	}{
		// The caller sees no difference: the server is left alone from the
		// first word of its drain, though its health endpoint, which lags by
		// ten seconds, goes on saying that all is well.
		{"health endpoint lies after a drain", false, []line{
			{0, good(1, 1)}, {ms, says(1, server.SaysDraining)}, {2 * ms, hint(1, server.SaysServing)},
			{3 * ms, good(1, 50)}, {4 * ms, probed(1)},
		}, view.StateDraining, server.WhySaidLeaving},
		// The caller sees no difference: another VM was told of the drain and
		// this one, which has no traffic to the server, believes it.
		{"drain seen by another VM", false, []line{
			{0, good(4, 1)}, {ms, told(4, server.SignLeaving)}, {2 * ms, good(4, 9)},
		}, view.StateDraining, server.WhySignLeaving},
		// The caller sees the restarted server used: a reply of its old
		// process, delayed on the way, says "draining" and comes after the
		// new process was met.
		{"late word of the old incarnation", false, []line{
			{0, good(1, 1)}, {ms, good(2, 1)}, {2 * ms, says(1, server.SaysDraining)}, {3 * ms, told(1, server.SignLeaving)},
		}, view.StateCold, server.WhyNew},
		// The caller sees no new work sent to the new process, which is
		// leaving, although the old one's late replies look well.
		{"late health of the old incarnation", false, []line{
			{0, good(1, 1)}, {ms, says(2, server.SaysDraining)}, {2 * ms, good(1, 9)}, {3 * ms, hint(1, server.SaysServing)},
		}, view.StateDraining, server.WhySaidLeaving},
		// The caller sees a slow moment and no lost replica: many timeouts,
		// as in an overload, make a server suspect; without failed probes it
		// is never gone.
		{"wave of timeouts", false, []line{
			{0, good(1, 1)}, {ms, fail(500)}, {900 * ms, probed(1)}, {910 * ms, fail(500)},
		}, view.StateSuspect, server.WhyFails},
		// The caller sees a try at the last replica rather than a shard that
		// is missing for sure.
		{"a shard's last replica", true, []line{
			{0, good(1, 1)}, {ms, fail(5)}, {300 * ms, probeFailed}, {700 * ms, probeFailed}, {800 * ms, fail(5)},
		}, view.StateSuspect, server.WhyLastReplica},
		// The caller is not hit by a server that answers fast errors in place
		// of most replies: every third request still goes well, so failures
		// are never three in a row, but their share tells.
		{"fast errors between good replies", false, []line{
			{0, good(1, 1)}, {1 * ms, fail(2)}, {2 * ms, good(1, 1)}, {3 * ms, fail(2)}, {4 * ms, good(1, 1)},
			{5 * ms, fail(2)}, {6 * ms, good(1, 1)}, {7 * ms, fail(2)},
		}, view.StateSuspect, server.WhyFails},
		// The caller sees no difference: one VM cannot reach the server and
		// says so, but this one can, and goes on.
		{"another VM is cut off from the server", false, []line{
			{0, good(1, 1)}, {ms, told(1, server.SignUnreachable)}, {200 * ms, probed(1)},
		}, view.StateServing, server.WhyReplies},
		// The caller sees a server accepted again whose incarnations start
		// anew, as after a clock was set back: the probe that it answers was
		// sent after it was gone, so the answer cannot be late news.
		{"incarnations start anew", false, []line{
			{0, good(9, 1)}, {ms, fail(5)}, {300 * ms, probeFailed}, {700 * ms, probeFailed}, {710 * ms, fail(1)},
			{2 * time.Second, probed(3)},
		}, view.StateCold, server.WhyNew},
		// The caller sees no difference: the load endpoint cannot be read,
		// once; one failure proves nothing.
		{"one failed hint", false, []line{{0, good(1, 1)}, {ms, fail(1)}}, view.StateServing, server.WhyReplies},
		// The caller sees a cold start at every server ramped, not refused.
		{"says that it is cold", false, []line{
			{0, says(1, server.SaysCold)}, {ms, server.Event{Kind: server.Reply, Incarnation: 1, Says: server.SaysCold, Cold: 3}},
		}, view.StateCold, server.WhySaysCold},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			st := newPlayer(tt.last).play(tt.lines)
			is.Equal(st.State, tt.state)
			is.Equal(st.Why, tt.why)
		})
	}
}

func drawEvent(rt *rapid.T) server.Event {
	return server.Event{
		Kind:        server.Kind(rapid.IntRange(int(server.Reply), int(server.Wake)).Draw(rt, "kind")),
		Incarnation: uint64(rapid.IntRange(0, 4).Draw(rt, "incarnation")),
		Says:        server.Says(rapid.IntRange(0, 3).Draw(rt, "says")),
		Good:        rapid.IntRange(0, 5).Draw(rt, "good"),
		Shed:        rapid.IntRange(0, 5).Draw(rt, "shed"),
		Cold:        rapid.IntRange(0, 1).Draw(rt, "cold"),
		Failed:      rapid.IntRange(0, 5).Draw(rt, "failed"),
		Probe:       rapid.Bool().Draw(rt, "probe"),
		Sign:        server.SignKind(rapid.IntRange(1, 3).Draw(rt, "sign")),
	}
}

// saysLeaving is the model's own reading of an event.
func saysLeaving(ev server.Event) bool {
	switch ev.Kind {
	case server.Reply, server.Hint:
		return ev.Says == server.SaysDraining
	case server.Told:
		return ev.Sign == server.SignLeaving && ev.Incarnation > 0
	default:
		return false
	}
}

// heard is the model: only sets of what was said, no states.
type heard struct {
	left      map[uint64]bool
	listed    bool
	goneSince time.Duration
}

// hear takes an event before the step, and st as it was then.
func (he *heard) hear(ev server.Event, st server.Status) {
	switch ev.Kind {
	case server.Removed:
		he.listed = false
	case server.Listed:
		he.listed = true
	}
	if !saysLeaving(ev) || ev.Incarnation != 0 && ev.Incarnation < st.Incarnation {
		return
	}
	inc := ev.Incarnation
	if inc == 0 {
		inc = st.Incarnation
	}
	he.left[inc] = true
}

// follow takes the incarnation that the machine has now.
func (he *heard) follow(rt *rapid.T, now time.Duration, ev server.Event, before, st server.Status) {
	if st.Incarnation < before.Incarnation {
		if he.left[before.Incarnation] && now-he.goneSince < time.Minute {
			rt.Fatalf("%+v believed after %v", st, now-he.goneSince)
		}
		// Incarnations started anew; their numbers are free again.
		maps.DeleteFunc(he.left, func(inc uint64, _ bool) bool { return inc >= st.Incarnation })
		if saysLeaving(ev) {
			he.left[st.Incarnation] = true
		}
	}
	if before.Incarnation == 0 && he.left[0] {
		// What was said without an incarnation was said of the first.
		he.left[st.Incarnation] = true
	}
	if st.State != view.StateGone {
		he.goneSince = now
	}
}

func (he *heard) check(rt *rapid.T, st server.Status) {
	mustLeave := !he.listed || he.left[st.Incarnation]
	if mustLeave && (!st.State.Leaving() || st.Weight != 0) {
		rt.Fatalf("%+v takes work", st)
	}
	if !mustLeave && st.State == view.StateDraining {
		rt.Fatalf("%+v drains though nobody said so", st)
	}
	if !st.State.Leaving() && (st.Weight <= 0 || st.Weight > 1) {
		rt.Fatalf("%+v has a weight out of bounds", st)
	}
}

// The caller's sub-requests never go to a process that is known to leave: in
// any order of events, once an incarnation's leaving has been heard, no later
// news of it makes the server take work; and a server whose incarnation nobody
// called leaving, and that stands in the configuration, is never shown as
// draining.
func TestLeavingWinsUntilNewIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := server.New(server.Config{Rand: rand.New(rand.NewPCG(1, 1))})
		tb.Add(0, addr)
		he := &heard{left: map[uint64]bool{}, listed: true}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 30_000).Draw(rt, "pause")) * ms
			tb.Wake(now)
			ev := drawEvent(rt)
			before := tb.Status(0)
			he.hear(ev, before)
			tb.Step(now, 0, ev)
			he.follow(rt, now, ev, before, tb.Status(0))
			he.check(rt, tb.Status(0))
		}
	})
}

// The caller's coverage holds: whatever fails, a server that is the last live
// replica of a shard and that has not said it leaves is still tried.
func TestLastReplicaIsNeverGone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := server.New(server.Config{
			Rand: rand.New(rand.NewPCG(1, 1)),
			Last: func(view.ServerID) bool { return true },
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

// The operators of an upstream see few probes from a VM while it is down: the
// pause doubles up to eight seconds, whatever the jitter.
func TestProbesBackOff(t *testing.T) {
	is := is.New(t)
	pl := newPlayer(false)
	pl.play([]line{{0, good(1, 1)}, {ms, fail(5)}})
	probes, lastAt := 0, time.Duration(0)
	for {
		at, ok := pl.tb.Next()
		is.True(ok) // a gone server is always probed again
		if at > 5*time.Minute {
			break
		}
		is.True(at-lastAt <= 8*time.Second)
		lastAt = at
		for _, ac := range pl.tb.Wake(at) {
			if ac.Kind == server.Probe {
				probes++
				pl.tb.Step(at, 0, probeFailed)
				break
			}
		}
	}
	is.Equal(pl.tb.Status(0).State, view.StateGone)
	is.True(probes >= 300/8)
	is.True(probes <= 300/4+6)
}

// Another VM's drain is told on once and not for ever: its echo from other VMs
// starts no new round, and a server that this VM does not know starts none.
func TestSignsEnd(t *testing.T) {
	is := is.New(t)
	pl := newPlayer(false)
	pl.play([]line{{0, good(1, 1)}})
	sg := server.Sign{Addr: addr, Incarnation: 1, Kind: server.SignLeaving}
	is.Equal(pl.tb.Learn(ms, sg), []server.Action{{Kind: server.Publish}, {Kind: server.Spread, Sign: sg}})
	is.Equal(len(pl.tb.Learn(2*ms, sg)), 0)
	is.Equal(len(pl.tb.Learn(3*ms, server.Sign{Addr: "10.9.9.9:1", Incarnation: 1, Kind: server.SignLeaving})), 0)
}
