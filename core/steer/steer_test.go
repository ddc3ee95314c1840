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

// clockedTable is a table with a simulated clock.
type clockedTable struct {
	t   *testing.T
	tb  *steer.Table
	now time.Duration
}

func newClockedTable(t *testing.T) *clockedTable {
	return &clockedTable{t: t, tb: steer.New(steer.Config{DataCentre: "east"}), now: time.Second}
}

func (ct *clockedTable) pick(tried ...*origin.Upstream) string {
	up, ok := ct.tb.Pick(ct.now, steer.RequestKind{UsualLatency: usual}, servers(), tried, half)
	if !ok {
		return ""
	}
	return up.ID
}

// serve has the local server answer one request after the given time.
func (ct *clockedTable) serve(took time.Duration) {
	ct.finish(took, fanout.Served)
}

// finish runs one request on the local server and returns the window.
func (ct *clockedTable) finish(took time.Duration, ve fanout.Verdict) int {
	ct.tb.Begin(ct.now, usual, process("near"))
	ct.now += took
	return ct.tb.End(ct.now, process("near"), steer.Result{Verdict: ve, Latency: took, UsualLatency: usual})
}

func TestLocalServerIsPreferred(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	is.Equal(ct.pick(), "near")
	is.Equal(ct.pick(servers()[0]), "far")
	is.Equal(ct.pick(servers()...), "")
}

// A server pauses, and a request to it hangs. The next request of this VM must avoid the paused
// server. Once the server has answered, it is used again at once, since the pause is over.
func TestPausedServerIsAvoided(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	ct.serve(usual)
	ct.tb.Begin(ct.now, usual, process("near"))
	is.Equal(ct.pick(), "near")
	ct.now += 60 * ms
	is.Equal(ct.pick(), "far")
	ct.now += 140 * ms
	ct.tb.End(ct.now, process("near"), steer.Result{Verdict: fanout.Served, Latency: 200 * ms, UsualLatency: usual})
	is.Equal(ct.pick(), "near")
}

// The same pause with a request that has slack: it may wait for the pause to end for as long as a
// hedge would take to be sent anyway.
func TestPauseWithinSlack(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	ct.serve(usual)
	ct.tb.Begin(ct.now, usual, process("near"))
	ct.now += 70 * ms
	patient := steer.RequestKind{UsualLatency: usual, Slack: 80 * ms}
	up, _ := ct.tb.Pick(ct.now, patient, servers(), nil, half)
	is.Equal(up.ID, "near")
	ct.now += 60 * ms
	up, _ = ct.tb.Pick(ct.now, patient, servers(), nil, half)
	is.Equal(up.ID, "far")
}

// A server is slow rather than paused: each answer takes ten times the usual. If only one slow
// answer were remembered, callers would be sent there repeatedly. After the second in a row it is
// avoided, for longer the more often it was slow, and then tried again.
func TestSlowServerIsAvoided(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	ct.serve(10 * usual)
	is.Equal(ct.pick(), "near")
	ct.serve(10 * usual)
	is.Equal(ct.pick(), "far")
	first := ct.waitUntilPicked("near")
	ct.serve(10 * usual)
	second := ct.waitUntilPicked("near")
	is.True(second > first)
	ct.serve(usual)
	is.Equal(ct.pick(), "near")
}

// waitUntilPicked waits until a server is picked and returns how long that took.
func (ct *clockedTable) waitUntilPicked(id string) time.Duration {
	start := ct.now
	for ct.pick() != id {
		ct.now += 100 * ms
		if ct.now-start > time.Minute {
			ct.t.Fatalf("%s is not picked again within a minute", id)
		}
	}
	return ct.now - start
}

// A short request is queued behind a long one on a server with few slots. The server is not slow,
// and must remain the first choice for both kinds.
func TestShortRequestBehindLongOne(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	const short = 6 * ms
	ct.serve(usual)
	for range 3 {
		ct.tb.Begin(ct.now, short, process("near"))
		ct.now += 5 * short
		ct.tb.End(ct.now, process("near"), steer.Result{Verdict: fanout.Served, Latency: 5 * short, UsualLatency: short})
	}
	is.Equal(ct.pick(), "near")
}

// A server loses power: it does not answer, and no connection fails either, so requests would
// wait until their deadlines. After unresponsiveAfter it is not picked, so that a request that
// needs it can fail at once. A connection that opens shows that it is back.
func TestUnresponsiveServerIsNotPicked(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	ct.tb.Begin(ct.now, usual, process("near"))
	ct.tb.Begin(ct.now, usual, process("far"))
	ct.now += 800 * ms
	is.Equal(ct.pick(), "")
	ct.tb.Withdraw(ct.now, process("near"), 800*ms)
	ct.tb.Withdraw(ct.now, process("far"), 800*ms)
	is.Equal(ct.pick(), "")
	ct.tb.RecordConnect(ct.now, process("near"), true)
	is.Equal(ct.pick(), "near")
}

func TestUnreachableAndStaleAddress(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	ct.tb.RecordConnect(ct.now, process("near"), false)
	is.Equal(ct.pick(), "far")
	ct.tb.RecordConnect(ct.now, process("near"), true)
	is.Equal(ct.pick(), "near")
	ct.finish(ms, fanout.Elsewhere)
	ct.now += 30 * time.Second
	is.Equal(ct.pick(), "far")
}

// A server fails or refuses some requests while its health checks succeed. Each costs a second
// attempt, of which the budget allows few, so another server is preferred until that has decayed.
func TestFailuresAreRemembered(t *testing.T) {
	for _, ve := range []fanout.Verdict{fanout.Failed, fanout.Refused, fanout.Lost} {
		t.Run(ve.String(), func(t *testing.T) {
			is := is.New(t)
			ct := newClockedTable(t)
			for range 3 {
				ct.finish(usual, ve)
			}
			is.Equal(ct.pick(), "far")
			ct.waitUntilPicked("near")
		})
	}
}

// More requests arrive than the server can handle, so its queue grows and answers take longer.
// The window shrinks to 1 only if several answers are slow, not for a single pause, and grows when
// answers are fast again.
func TestWindow(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	open := ct.finish(usual, fanout.Served)
	once := ct.finish(10*usual, fanout.Served)
	is.True(once < open)
	closed := once
	for range 20 {
		closed = ct.finish(5*usual, fanout.Served)
	}
	is.Equal(closed, 1)
	// Each increase of a window of 16 takes 16 answers, and adds a fifth of a request.
	for range 800 {
		closed = ct.finish(usual, fanout.Served)
	}
	is.Equal(closed, open)
}

func TestKeepRemovesServers(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	ct.tb.RecordConnect(ct.now, process("near"), false)
	ct.tb.Retain(origin.New(nil))
	is.Equal(ct.pick(), "near")
}

// A server restarts under the same ID. That the old process was slow, unreachable or gone from
// its address must not affect the new one, which has to be picked at once. Late results of the
// old process must not count against the new one either.
func TestRestartedServer(t *testing.T) {
	is := is.New(t)
	tb := steer.New(steer.Config{DataCentre: "east"})
	before := &origin.Upstream{ID: "a", StartMs: 1, Addr: "a:1", DataCentre: "east"}
	after := &origin.Upstream{ID: "a", StartMs: 2, Addr: "a:1", DataCentre: "east"}
	far := &origin.Upstream{ID: "b", StartMs: 1, Addr: "b:1", DataCentre: "west"}
	pick := func(up *origin.Upstream) string {
		found, ok := tb.Pick(time.Second, steer.RequestKind{UsualLatency: usual}, []*origin.Upstream{up, far}, nil, half)
		is.True(ok)
		return found.ID
	}
	tb.Begin(0, usual, before.Process())
	tb.RecordConnect(time.Second, before.Process(), false)
	is.Equal(pick(before), "b")
	is.Equal(pick(after), "a")
	tb.End(time.Second, before.Process(), steer.Result{Verdict: fanout.Elsewhere})
	is.Equal(pick(after), "a")
}

// A joined answer waits for its slowest server, so only healthy servers are asked together.
func TestHealthy(t *testing.T) {
	cases := []struct {
		name   string
		result steer.Result
		sound  bool
	}{
		{"served", steer.Result{Verdict: fanout.Served, Latency: 10 * time.Millisecond, UsualLatency: 10 * time.Millisecond}, true},
		{"slow", steer.Result{Verdict: fanout.Served, Latency: 90 * time.Millisecond, UsualLatency: 10 * time.Millisecond}, false},
		{"refused", steer.Result{Verdict: fanout.Refused}, false},
		{"failed", steer.Result{Verdict: fanout.Failed}, false},
		{"elsewhere", steer.Result{Verdict: fanout.Elsewhere}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{})
			is.True(tb.Healthy(0, process("a")))
			tb.Begin(0, 10*time.Millisecond, process("a"))
			tb.End(100*time.Millisecond, process("a"), tc.result)
			is.Equal(tb.Healthy(101*time.Millisecond, process("a")), tc.sound)
		})
	}
}

// Load reports are kept with their age, separately for each process.
func TestLoadReports(t *testing.T) {
	is := is.New(t)
	tb := steer.New(steer.Config{DataCentre: "east"})
	up := &origin.Upstream{ID: "a", StartMs: 1, Service: "s"}
	a, b := up.Process(), origin.Process{ID: "a", StartMs: 2}
	_, known := tb.ReportsLoad("s")
	is.True(!known)
	_, _, ok := tb.LastLoad(time.Second, a)
	is.True(!ok)
	tb.RecordLoad(time.Second, up, steer.Load{Running: 2, Slots: 6, Slowdown: 1}, 0)
	lo, age, ok := tb.LastLoad(3*time.Second, a)
	is.True(ok)
	is.Equal(lo.Running, 2)
	is.Equal(age, 2*time.Second)
	_, _, ok = tb.LastLoad(3*time.Second, b)
	is.True(!ok)
	tb.RecordNoLoad("s")
	tells, _ := tb.ReportsLoad("s")
	is.True(tells)
	tb.RecordNoLoad("t")
	tells, known = tb.ReportsLoad("t")
	is.True(known && !tells)
	is.True(tb.RecordUnreadableLoad(b))
	is.True(!tb.RecordUnreadableLoad(b))
}
