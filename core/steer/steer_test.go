package steer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
)

const (
	ms    = time.Millisecond
	usual = 20 * ms
)

func process(id string) origin.Process { return origin.Process{ID: id} }

func half() float64 { return 0.5 }

func servers() []*origin.Upstream {
	return []*origin.Upstream{
		{ID: "near", Service: "s", DataCentre: "east"},
		{ID: "far", Service: "s", DataCentre: "west"},
	}
}

// world is a table with a clock.
type world struct {
	t   *testing.T
	tb  *steer.Table
	now time.Duration
}

func newWorld(t *testing.T) *world {
	return &world{t: t, tb: steer.New(steer.Config{DataCentre: "east"}), now: time.Second}
}

func (wo *world) pick(tried ...*origin.Upstream) string {
	up, ok := wo.tb.Pick(wo.now, steer.Kind{Usual: usual}, servers(), tried, half)
	if !ok {
		return ""
	}
	return up.ID
}

// serve has the near server answer one request after some time.
func (wo *world) serve(took time.Duration) {
	wo.end(took, fanout.Served)
}

// end ends one request to the near server.
func (wo *world) end(took time.Duration, ve fanout.Verdict) int {
	wo.tb.Begin(wo.now, usual, process("near"))
	wo.now += took
	return wo.tb.End(wo.now, process("near"), steer.Attempt{Verdict: ve, Took: took, Usual: usual})
}

func TestNearFirst(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	is.Equal(wo.pick(), "near")
	is.Equal(wo.pick(servers()[0]), "far")
	is.Equal(wo.pick(servers()...), "")
}

// A server is in a pause: a request that went there hangs. The next request of
// this VM must not walk into the same pause, and once the server has answered it
// is used again at once, for the pause is over.
func TestPauseIsPassedAround(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	wo.serve(usual)
	wo.tb.Begin(wo.now, usual, process("near"))
	is.Equal(wo.pick(), "near")
	wo.now += 60 * ms
	is.Equal(wo.pick(), "far")
	wo.now += 140 * ms
	wo.tb.End(wo.now, process("near"), steer.Attempt{Verdict: fanout.Served, Took: 200 * ms, Usual: usual})
	is.Equal(wo.pick(), "near")
}

// The same pause, and a request that has time: it may wait for the end of the
// pause as long as another server would be asked later anyway.
func TestPauseWithinSlack(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	wo.serve(usual)
	wo.tb.Begin(wo.now, usual, process("near"))
	wo.now += 70 * ms
	patient := steer.Kind{Usual: usual, Slack: 80 * ms}
	up, _ := wo.tb.Pick(wo.now, patient, servers(), nil, half)
	is.Equal(up.ID, "near")
	wo.now += 60 * ms
	up, _ = wo.tb.Pick(wo.now, patient, servers(), nil, half)
	is.Equal(up.ID, "far")
}

// A server is slow, not paused: each answer takes ten times the usual. Callers
// would find it again and again if one slow answer were all that is remembered;
// after the second in a row it is left alone, the longer the more often it was
// found slow, and asked again when it may have recovered.
func TestSlowServerIsLeft(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	wo.serve(10 * usual)
	is.Equal(wo.pick(), "near")
	wo.serve(10 * usual)
	is.Equal(wo.pick(), "far")
	first := wo.until("near")
	wo.serve(10 * usual)
	second := wo.until("near")
	is.True(second > first)
	wo.serve(usual)
	is.Equal(wo.pick(), "near")
}

// until waits for a server to be picked.
func (wo *world) until(id string) time.Duration {
	began := wo.now
	for wo.pick() != id {
		wo.now += 100 * ms
		if wo.now-began > time.Minute {
			wo.t.Fatalf("%s is never picked again", id)
		}
	}
	return wo.now - began
}

// A short request waits behind a long one at a server with few slots. That says
// nothing of the server, which must stay the first choice for both.
func TestShortBehindLong(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	const short = 6 * ms
	wo.serve(usual)
	for range 3 {
		wo.tb.Begin(wo.now, short, process("near"))
		wo.now += 5 * short
		wo.tb.End(wo.now, process("near"), steer.Attempt{Verdict: fanout.Served, Took: 5 * short, Usual: short})
	}
	is.Equal(wo.pick(), "near")
}

// A server loses its power: it says nothing, and nothing fails either. Requests
// to it would wait for their deadlines. After darkAfter it is no choice, so that
// a caller whose request needs it can be told at once; a connection that opens
// shows that it is back.
func TestDarkServerIsNoChoice(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	wo.tb.Begin(wo.now, usual, process("near"))
	wo.tb.Begin(wo.now, usual, process("far"))
	wo.now += 800 * ms
	is.Equal(wo.pick(), "")
	wo.tb.Withdraw(wo.now, process("near"), 800*ms)
	wo.tb.Withdraw(wo.now, process("far"), 800*ms)
	is.Equal(wo.pick(), "")
	wo.tb.Reached(wo.now, process("near"), true)
	is.Equal(wo.pick(), "near")
}

func TestUnreachedAndStranger(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	wo.tb.Reached(wo.now, process("near"), false)
	is.Equal(wo.pick(), "far")
	wo.tb.Reached(wo.now, process("near"), true)
	is.Equal(wo.pick(), "near")
	wo.end(ms, fanout.Elsewhere)
	wo.now += 30 * time.Second
	is.Equal(wo.pick(), "far")
}

// A server answers some requests with failures, or refuses some, while its health
// is good. Each costs a second attempt, of which there are few: another server
// is taken while that is remembered.
func TestFailuresAreRemembered(t *testing.T) {
	for _, ve := range []fanout.Verdict{fanout.Failed, fanout.Refused, fanout.Lost} {
		t.Run(ve.String(), func(t *testing.T) {
			is := is.New(t)
			wo := newWorld(t)
			for range 3 {
				wo.end(usual, ve)
			}
			is.Equal(wo.pick(), "far")
			wo.until("near")
		})
	}
}

// More comes than the server can take, so that its queue grows and each answer
// takes longer. The window closes with the answers' times and not with a single
// pause, and opens when answers are quick again.
func TestWindow(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	open := wo.end(usual, fanout.Served)
	once := wo.end(10*usual, fanout.Served)
	is.True(once < open)
	closed := once
	for range 20 {
		closed = wo.end(5*usual, fanout.Served)
	}
	is.Equal(closed, 1)
	// Sixteen requests at once need as many answers for each step, at a fifth of a
	// step for each round trip.
	for range 800 {
		closed = wo.end(usual, fanout.Served)
	}
	is.Equal(closed, open)
}

func TestKeepForgets(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	wo.tb.Reached(wo.now, process("near"), false)
	wo.tb.Keep(origin.New(nil))
	is.Equal(wo.pick(), "near")
}

// A server starts again under its id. That its former life was slow, out of reach or
// gone from its address says nothing of the new one, which must be asked at once;
// what still comes of the former one must not be held against it either.
func TestAnotherLife(t *testing.T) {
	is := is.New(t)
	tb := steer.New(steer.Config{DataCentre: "east"})
	before := &origin.Upstream{ID: "a", Born: 1, Addr: "a:1", DataCentre: "east"}
	after := &origin.Upstream{ID: "a", Born: 2, Addr: "a:1", DataCentre: "east"}
	far := &origin.Upstream{ID: "b", Born: 1, Addr: "b:1", DataCentre: "west"}
	pick := func(up *origin.Upstream) string {
		found, ok := tb.Pick(time.Second, steer.Kind{Usual: usual}, []*origin.Upstream{up, far}, nil, half)
		is.True(ok)
		return found.ID
	}
	tb.Begin(0, usual, before.Process())
	tb.Reached(time.Second, before.Process(), false)
	is.Equal(pick(before), "b")
	is.Equal(pick(after), "a")
	tb.End(time.Second, before.Process(), steer.Attempt{Verdict: fanout.Elsewhere})
	is.Equal(pick(after), "a")
}

// A joined answer waits for the slowest server in it, so that only servers against
// which nothing speaks are asked together.
func TestSound(t *testing.T) {
	cases := []struct {
		name  string
		at    steer.Attempt
		sound bool
	}{
		{"served", steer.Attempt{Verdict: fanout.Served, Took: 10 * time.Millisecond, Usual: 10 * time.Millisecond}, true},
		{"slow", steer.Attempt{Verdict: fanout.Served, Took: 90 * time.Millisecond, Usual: 10 * time.Millisecond}, false},
		{"refused", steer.Attempt{Verdict: fanout.Refused}, false},
		{"failed", steer.Attempt{Verdict: fanout.Failed}, false},
		{"elsewhere", steer.Attempt{Verdict: fanout.Elsewhere}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{})
			is.True(tb.Sound(0, process("a")))
			tb.Begin(0, 10*time.Millisecond, process("a"))
			tb.End(100*time.Millisecond, process("a"), tc.at)
			is.Equal(tb.Sound(101*time.Millisecond, process("a")), tc.sound)
		})
	}
}

// What a server tells of itself is kept with its age, and is told apart by process.
func TestTold(t *testing.T) {
	is := is.New(t)
	tb := steer.New(steer.Config{DataCentre: "east"})
	up := &origin.Upstream{ID: "a", Born: 1, Service: "s"}
	a, b := up.Process(), origin.Process{ID: "a", Born: 2}
	_, known := tb.Tells("s")
	is.True(!known)
	_, _, ok := tb.Told(time.Second, a)
	is.True(!ok)
	tb.Tell(time.Second, up, steer.Load{Running: 2, Slots: 6, Pace: 1}, 0)
	lo, age, ok := tb.Told(3*time.Second, a)
	is.True(ok)
	is.Equal(lo.Running, 2)
	is.Equal(age, 2*time.Second)
	_, _, ok = tb.Told(3*time.Second, b)
	is.True(!ok)
	tb.TellsNot("s")
	tells, _ := tb.Tells("s")
	is.True(tells)
	tb.TellsNot("t")
	tells, known = tb.Tells("t")
	is.True(known && !tells)
	is.True(tb.Misread(b))
	is.True(!tb.Misread(b))
}
