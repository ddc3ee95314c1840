package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/admit"
	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
)

const gateTarget, gateDeadline = 100 * time.Millisecond, 400 * time.Millisecond

func arrivalAt(now time.Duration, account string) admit.Arrival {
	return admit.Arrival{
		Account: account, Route: "search", Cost: 36, Bytes: 1000, Servers: 20 * time.Millisecond,
		Target: now + gateTarget, Deadline: now + gateDeadline,
	}
}

// fillGate starts requests until one has to wait, and returns its verdict.
func fillGate(ga *admit.Gate[int]) admit.Verdict[int] {
	for i := range 1000 {
		if vd := ga.Offer(0, arrivalAt(0, fmt.Sprint("account", i%100)), i); vd.Kind != admit.Admitted {
			return vd
		}
	}
	return admit.Verdict[int]{}
}

func TestGateRefusals(t *testing.T) {
	cases := []struct {
		name   string
		cfg    admit.GateConfig
		before int
		change func(ar *admit.Arrival)
		want   admit.Reason
	}{
		{name: "no time is left", change: func(ar *admit.Arrival) { ar.Deadline = 0 }, want: admit.ReasonDeadlineTooClose},
		{name: "servers are slower than the deadline", change: func(ar *admit.Arrival) { ar.Servers = time.Second }, want: admit.ReasonServers},
		{name: "too many wait", cfg: admit.GateConfig{MaxWaiting: 4}, before: 4, want: admit.ReasonQueueFull},
		{name: "too many bytes wait", cfg: admit.GateConfig{MaxBytes: 2500}, before: 2, want: admit.ReasonQueueFull},
		{name: "too many of the account wait", cfg: admit.GateConfig{MaxWaiting: 8}, before: 2, want: admit.ReasonTeamQueueFull},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ga := admit.NewGate[int](tc.cfg)
			if tc.before > 0 {
				vd := fillGate(ga)
				is.Equal(vd.Kind, admit.Queued)
				is.True(ga.Withdraw(0, vd.Entry))
			}
			account := "one"
			for i := range tc.before {
				if tc.want == admit.ReasonQueueFull {
					account = fmt.Sprint("other", i)
				}
				is.Equal(ga.Offer(0, arrivalAt(0, account), 0).Kind, admit.Queued)
			}
			ar := arrivalAt(0, account)
			if tc.want == admit.ReasonQueueFull {
				ar.Account = "new"
			}
			if tc.change != nil {
				tc.change(&ar)
			}
			vd := ga.Offer(0, ar, 0)
			is.Equal(vd.Kind, admit.Refused)
			is.Equal(vd.Reason, tc.want)
			is.True(vd.RetryAfter > 0)
		})
	}
}

// A client that disconnects leaves the queue, and its place goes to the next.
func TestGateWithdraw(t *testing.T) {
	is := is.New(t)
	ga := admit.NewGate[int](admit.GateConfig{})
	first := fillGate(ga)
	second := ga.Offer(0, arrivalAt(0, "late"), 7)
	is.Equal(second.Kind, admit.Queued)
	is.True(ga.Withdraw(time.Millisecond, first.Entry))
	is.True(!ga.Withdraw(time.Millisecond, first.Entry)) // it has left already
	ga.Done(20*time.Millisecond, arrivalAt(0, "account0"), 20*time.Millisecond, 0)
	grants := ga.Step(20 * time.Millisecond)
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Waiter, 7)
	is.True(grants[0].Start)
	is.Equal(ga.State(20*time.Millisecond).Waiting, 0)
}

// The servers answer while this VM has nothing to do. What waits must start meanwhile, and nothing
// more once their answers are due.
func TestGateStartsWhileServersAnswer(t *testing.T) {
	is := is.New(t)
	ga := admit.NewGate[int](admit.GateConfig{})
	vd := fillGate(ga)
	is.Equal(vd.Kind, admit.Queued)
	for k := range 3 {
		is.Equal(ga.Offer(0, arrivalAt(0, fmt.Sprint("other", k)), k).Kind, admit.Queued)
	}
	is.Equal(len(ga.Step(0)), 0)
	sent := arrivalAt(0, "account0")
	first := ga.Sent(time.Millisecond, sent, 0)
	is.Equal(len(ga.Step(time.Millisecond)), 1)
	ga.Away(2*time.Millisecond, sent)
	is.Equal(len(ga.Step(2*time.Millisecond)), 1)
	is.Equal(len(ga.Step(30*time.Millisecond)), 0) // the answers are due
	ga.Done(30*time.Millisecond, first, 30*time.Millisecond, 0)
	is.Equal(len(ga.Step(30*time.Millisecond)), 0) // two too many are in progress
}

// Nothing that was started ends, and a request has much time left. It must not wait for longer than
// MaxWait: what waits is bounded in time too.
func TestGateMaxWait(t *testing.T) {
	const maxWait = time.Second
	is := is.New(t)
	ga := admit.NewGate[int](admit.GateConfig{MaxWait: maxWait})
	first := fillGate(ga)
	is.True(ga.Withdraw(0, first.Entry))
	ar := arrivalAt(0, "one")
	ar.Target, ar.Deadline = time.Minute, time.Minute
	vd := ga.Offer(0, ar, 7)
	is.Equal(vd.Kind, admit.Queued)
	is.True(vd.Entry.StartBy() <= maxWait)
	is.Equal(len(ga.Step(maxWait-time.Millisecond)), 0)
	grants := ga.Step(maxWait)
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Reason, admit.ReasonQueueTimeout)
}

// Each of 20,000 accounts sends a few requests and stops. The memory must be bounded while they
// send, and nothing remain after that.
func TestGateForgetsAccounts(t *testing.T) {
	is := is.New(t)
	ga := admit.NewGate[int](admit.GateConfig{})
	now := time.Duration(0)
	for i := range 60_000 {
		now += 100 * time.Microsecond
		ar := arrivalAt(now, fmt.Sprint("account", i%20_000))
		if vd := ga.Offer(now, ar, i); vd.Kind == admit.Admitted {
			ga.Done(now, ar, time.Millisecond, 0)
		}
		is.True(ga.State(now).Kept <= 4096)
	}
	for range 3 {
		now += 11 * time.Second
		ga.Offer(now, arrivalAt(now, "last"), 0)
	}
	is.Equal(ga.State(now).Kept, 1)
}

// Each version of the configuration has other route names, and requests of the previous one are still
// in progress. The gate must keep nothing of routes that are gone, or its memory grows with each
// change, and must not forget those that stay.
func TestGateForgetsRoutes(t *testing.T) {
	is := is.New(t)
	ga := admit.NewGate[int](admit.GateConfig{})
	arrivalOf := func(route string, now time.Duration) admit.Arrival {
		ar := arrivalAt(now, "one")
		ar.Route, ar.Servers, ar.Target = route, 300*time.Millisecond, now+gateTarget
		return ar
	}
	now := time.Duration(0)
	reason := admit.Reason("")
	for k := range 1000 {
		ga.SetRoutes([]string{"stays", fmt.Sprint("route", k)})
		for _, name := range []string{fmt.Sprint("route", k-1), fmt.Sprint("route", k)} {
			ar := arrivalOf(name, now)
			ga.Offer(now, ar, 0)
			ga.Done(now+time.Millisecond, ar, time.Millisecond, 0)
		}
		reason = ga.Offer(now, arrivalOf("stays", now), 0).Reason
		now += 10 * time.Millisecond
		is.Equal(ga.State(now).Routes, 2)
	}
	is.Equal(reason, admit.ReasonServers) // that its servers were slow is still known
}

// One of 36 shards takes three or eight times as long, and a request needs it. If its server has
// spare capacity, three of four requests were refused though refusals change nothing and a late
// answer still has part of its value. If it is overloaded, admission must stop, but for a few trials.
// Load: a tenth of the capacity of this VM.
func TestReplaySlowShard(t *testing.T) {
	const usual, target = 10 * time.Millisecond, 25 * time.Millisecond
	spare := steer.Load{Running: 1, Slots: 5, Slowdown: 8}
	queue := steer.Load{Running: 5, Waiting: 15, Slots: 5}
	for _, tc := range []struct {
		name        string
		minParts    int
		load        *steer.Load
		refused     bool
		slow        time.Duration
		least, most float64
	}{
		{"not needed", 35, nil, false, 3 * usual, 1, 1},
		{"needed, no report", 36, nil, false, 3 * usual, 1, 1},
		{"needed, much slower, one request ahead", 36, nil, false, 8 * usual, 1, 1},
		{"needed, spare capacity reported", 36, &spare, false, 8 * usual, 1, 1},
		{"needed, queue reported", 36, &queue, false, 3 * usual, 0.2, 0.35},
		{"needed, refuses", 36, nil, true, 3 * usual, 0.2, 0.35},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ss := newSlowShard(tc.load, tc.refused, usual, tc.slow)
			admitted, offered := 0, 0
			for now := time.Second; now < 5*time.Second; now += 60 * time.Millisecond {
				ss.observe(now)
				ar := arrivalAt(now, "one")
				var enough bool
				ar.Servers, enough = ss.tb.Coverage(now, usual, ss.shards, tc.minParts)
				is.True(enough)
				ar.Unloaded, _ = ss.tb.UnloadedCoverage(now, usual, ss.shards, tc.minParts)
				ar.Target = now + target
				vd := ss.ga.Offer(now, ar, 0)
				if vd.Kind == admit.Admitted {
					ss.ga.Done(now, ar, ar.Servers, 0)
				} else {
					is.Equal(vd.Reason, admit.ReasonServers)
				}
				if now < 2*time.Second {
					continue // the slowness is not known yet
				}
				offered++
				if vd.Kind == admit.Admitted {
					admitted++
				}
			}
			share := float64(admitted) / float64(offered)
			t.Logf("admitted %.2f", share)
			is.True(share >= tc.least && share <= tc.most)
		})
	}
}

// slowShard is a VM with 36 shards, of which the first takes slow in place of usual.
type slowShard struct {
	tb     *steer.Table
	ga     *admit.Gate[int]
	shards [][]*origin.Upstream
	load   *steer.Load
	// refuses makes the slow server refuse as well.
	refuses     bool
	usual, slow time.Duration
}

func newSlowShard(load *steer.Load, refuses bool, usual, slow time.Duration) *slowShard {
	ss := &slowShard{
		tb: steer.New(steer.Config{DataCentre: "east"}), ga: admit.NewGate[int](admit.GateConfig{}),
		shards: make([][]*origin.Upstream, 36), load: load, refuses: refuses, usual: usual, slow: slow,
	}
	for i := range ss.shards {
		id := fmt.Sprint("server", i)
		ss.shards[i] = []*origin.Upstream{{ID: id, Addr: id, DataCentre: "east"}}
	}
	// One request is always at the slow server, so that its window is used up once it is cut.
	ss.tb.Begin(0, slow, ss.shards[0][0].Process())
	return ss
}

// observe records one answer of each server.
func (ss *slowShard) observe(now time.Duration) {
	for i, ups := range ss.shards {
		took, up := ss.usual, ups[0]
		if i == 0 {
			took = ss.slow
			if ss.load != nil {
				ss.tb.RecordLoad(now, up, *ss.load, took)
			}
			if ss.refuses {
				ss.tb.Begin(now-took, ss.usual, up.Process())
				ss.tb.End(now, up.Process(), steer.Result{Verdict: fanout.Refused, Latency: took, UsualLatency: ss.usual})
			}
		}
		ss.tb.Begin(now-took, ss.usual, up.Process())
		ss.tb.End(now, up.Process(), steer.Result{Verdict: fanout.Served, Latency: took, UsualLatency: ss.usual})
	}
}

// Two requests that found slow servers, a minute apart, are no lasting slowness: three of four later
// ones would be refused although the servers are as fast as usual in between.
func TestGateForgetsSlowServers(t *testing.T) {
	is := is.New(t)
	ga := admit.NewGate[int](admit.GateConfig{})
	slow := func(now time.Duration) admit.Arrival {
		return admit.Arrival{Route: "r", Cost: 1, Servers: 300 * time.Millisecond, Target: now + 100*time.Millisecond, Deadline: now + 2*time.Second}
	}
	for k := range 8 {
		now := time.Duration(k) * time.Minute
		vd := ga.Offer(now, slow(now), k)
		is.Equal(vd.Reason, admit.Reason(""))
	}
}

// A server of a route hangs, and its requests take until their deadlines. A VM with a free processor
// must not conclude that it is itself too slow, and refuse the next ones.
func TestGateDoesNotBlameItselfForHangingServers(t *testing.T) {
	is := is.New(t)
	ga := admit.NewGate[int](admit.GateConfig{})
	now := time.Duration(0)
	for k := range 20 {
		ar := admit.Arrival{Route: "r", Cost: 1, Servers: 50 * time.Millisecond, Target: now + 500*time.Millisecond, Deadline: now + time.Second}
		other := admit.Arrival{Route: "other", Cost: 1, Target: now + 500*time.Millisecond, Deadline: now + time.Second}
		ga.Offer(now, other, k)
		is.Equal(ga.Offer(now, ar, k).Reason, admit.Reason(""))
		ar = ga.Sent(now, ar, 0)
		now += 1200 * time.Millisecond
		ga.Done(now, other, 10*time.Millisecond, 0)
		ga.Done(now, ar, 1200*time.Millisecond, 0)
	}
}
