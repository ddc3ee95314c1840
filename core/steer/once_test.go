package steer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
)

// A reported slowdown is assumed to last for as long as it already has: a burst of neighbouring
// load is soon forgotten, and a slowdown of one second is remembered for one second.
func TestReportedSlowdown(t *testing.T) {
	once := steer.RequestKind{UsualLatency: usual, UseLoadReports: true}
	slow := steer.Load{Running: 1, Slots: 6, Slowdown: 9}
	near := &origin.Upstream{ID: "near", DataCentre: "east"}
	for _, tc := range []struct {
		name string
		tell func(tb *steer.Table)
		kind steer.RequestKind
		at   time.Duration
		want string
	}{
		{"no report", func(*steer.Table) {}, once, time.Second, "near"},
		{"slow now", func(tb *steer.Table) { tb.RecordLoad(time.Second, near, slow, 0) }, once, time.Second, "far"},
		{"slow 100 ms ago", func(tb *steer.Table) { tb.RecordLoad(time.Second, near, slow, 0) }, once, time.Second + 100*ms, "near"},
		{"slow for a second", func(tb *steer.Table) {
			tb.RecordLoad(time.Second, near, slow, 0)
			tb.RecordLoad(2*time.Second, near, slow, 0)
		}, once, 2*time.Second + 500*ms, "far"},
		{"slow for a second, long ago", func(tb *steer.Table) {
			tb.RecordLoad(time.Second, near, slow, 0)
			tb.RecordLoad(2*time.Second, near, slow, 0)
		}, once, 8 * time.Second, "near"},
		{"recovered", func(tb *steer.Table) {
			tb.RecordLoad(time.Second, near, slow, 0)
			tb.RecordLoad(2*time.Second, near, slow, 0)
			tb.RecordLoad(2*time.Second, near, steer.Load{Slots: 6, Slowdown: 1}, 0)
		}, once, 2 * time.Second, "near"},
		{"long queue", func(tb *steer.Table) {
			tb.RecordLoad(time.Second, near, steer.Load{Running: 6, Waiting: 18, Slots: 6, Slowdown: 1}, 0)
		}, once, time.Second, "far"},
		{"long queue a second ago", func(tb *steer.Table) {
			tb.RecordLoad(time.Second, near, steer.Load{Running: 6, Waiting: 18, Slots: 6, Slowdown: 1}, 0)
		}, once, 2 * time.Second, "near"},
		{"reports not used", func(tb *steer.Table) { tb.RecordLoad(time.Second, near, slow, 0) }, steer.RequestKind{UsualLatency: usual}, time.Second, "near"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{DataCentre: "east"})
			tc.tell(tb)
			up, ok := tb.Pick(tc.at, tc.kind, []*origin.Upstream{near, {ID: "far", DataCentre: "west"}}, nil, func() float64 { return 0 })
			is.True(ok)
			is.Equal(up.ID, tc.want)
		})
	}
}

// onceSim simulates requests that may run only once, over 15 servers in three data centres. Each
// of 88 VMs sends one every four seconds, so no VM has recent observations of the servers. A
// sixth of the servers is nine times as slow for eight seconds; others are slow for a moment now
// and then.
type onceSim struct {
	rnd     *rand.Rand
	now     time.Duration
	servers []*origin.Upstream
	vms     []*steer.Table
	askLoad bool
	late    int
	total   int
}

const (
	onceVMs       = 88
	onceUsual     = 220 * ms
	onceTarget    = 800 * ms
	oncePerSecond = 24
	onceDuration  = 20 * time.Second
)

// pace returns the current slowdown of server n.
func (sm *onceSim) pace(n int) float64 {
	if n%6 == 0 && sm.now > 5*time.Second && sm.now < 13*time.Second {
		return 9
	}
	if sm.rnd.IntN(10) == 0 {
		return 2.5
	}
	return 1
}

func (sm *onceSim) run() {
	for ; sm.now < onceDuration; sm.now += time.Second / oncePerSecond {
		tb := sm.vms[sm.rnd.IntN(onceVMs)]
		ki := steer.RequestKind{UsualLatency: onceUsual, UseLoadReports: sm.askLoad}
		var asked []*origin.Upstream
		for sm.askLoad && len(asked) < 3 {
			up, _ := tb.Pick(sm.now, ki, sm.servers, asked, sm.rnd.Float64)
			asked = append(asked, up)
		}
		ck := steer.NewCheck(sm.now, steer.CheckConfig{Table: tb, Asked: asked, Brief: 25 * ms, UsualLatency: onceUsual, Deadline: sm.now + onceTarget})
		for _, up := range asked {
			tb.RecordLoad(sm.now, up, steer.Load{Running: 1, Slots: 6, Slowdown: sm.pace(sm.index(up))}, 0)
			ck.Answered(sm.now, up)
		}
		groups := [][]*origin.Upstream{sm.servers}
		if sm.askLoad {
			groups = ck.Rank(sm.servers)
		}
		var up *origin.Upstream
		for n, ok := 0, false; !ok; n++ {
			up, ok = tb.Pick(sm.now, ki, groups[n], nil, sm.rnd.Float64)
		}
		took := time.Duration(float64(onceUsual) * math.Exp(0.4*sm.rnd.NormFloat64()))
		if n := sm.index(up); n%6 == 0 && sm.now > 5*time.Second && sm.now < 13*time.Second {
			took *= 9
		}
		tb.Begin(sm.now, onceUsual, up.Process())
		tb.End(sm.now+took, up.Process(), steer.Result{Verdict: fanout.Served, Latency: took, UsualLatency: onceUsual})
		sm.total++
		if took > onceTarget {
			sm.late++
		}
	}
}

func (sm *onceSim) index(up *origin.Upstream) int {
	for n, other := range sm.servers {
		if other == up {
			return n
		}
	}
	return -1
}

func simulateOnce(askLoad bool) (late float64) {
	sm := &onceSim{rnd: rand.New(rand.NewPCG(simSeed, 4)), askLoad: askLoad}
	for n := range 15 {
		sm.servers = append(sm.servers, &origin.Upstream{ID: fmt.Sprint(n), DataCentre: fmt.Sprint(n % 3)})
	}
	for n := range onceVMs {
		sm.vms = append(sm.vms, steer.New(steer.Config{DataCentre: fmt.Sprint(n % 3)}))
	}
	sm.run()
	return float64(sm.late) / float64(sm.total)
}

// A request that may run only once is sent to a single server and cannot be hedged when that is
// slow. When three servers are asked for their load first, hardly any request is sent to a slow
// one.
func TestNonIdempotentRequestsAvoidSlowServers(t *testing.T) {
	is := is.New(t)
	without, with := simulateOnce(false), simulateOnce(true)
	t.Logf("late without load reports: %.3f, with: %.3f", without, with)
	is.True(without > 0.05)
	is.True(with < 0.02)
}
