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

// A server's pace is thought to last as long as it has: a burst of its neighbours' work is soon
// forgotten, and what has slowed it for a second is remembered for one.
func TestToldPace(t *testing.T) {
	once := steer.Kind{Usual: usual, Told: true}
	slow := steer.Load{Running: 1, Slots: 6, Pace: 9}
	near := &origin.Upstream{ID: "near", DataCentre: "east"}
	for _, tc := range []struct {
		name string
		tell func(tb *steer.Table)
		kind steer.Kind
		at   time.Duration
		want string
	}{
		{"nothing told", func(*steer.Table) {}, once, time.Second, "near"},
		{"slow just now", func(tb *steer.Table) { tb.Tell(time.Second, near, slow, 0) }, once, time.Second, "far"},
		{"a moment ago", func(tb *steer.Table) { tb.Tell(time.Second, near, slow, 0) }, once, time.Second + 100*ms, "near"},
		{"for a second", func(tb *steer.Table) {
			tb.Tell(time.Second, near, slow, 0)
			tb.Tell(2*time.Second, near, slow, 0)
		}, once, 2*time.Second + 500*ms, "far"},
		{"for a second, and long ago", func(tb *steer.Table) {
			tb.Tell(time.Second, near, slow, 0)
			tb.Tell(2*time.Second, near, slow, 0)
		}, once, 8 * time.Second, "near"},
		{"no more", func(tb *steer.Table) {
			tb.Tell(time.Second, near, slow, 0)
			tb.Tell(2*time.Second, near, slow, 0)
			tb.Tell(2*time.Second, near, steer.Load{Slots: 6, Pace: 1}, 0)
		}, once, 2 * time.Second, "near"},
		{"a long queue", func(tb *steer.Table) {
			tb.Tell(time.Second, near, steer.Load{Running: 6, Waiting: 18, Slots: 6, Pace: 1}, 0)
		}, once, time.Second, "far"},
		{"a long queue, a while ago", func(tb *steer.Table) {
			tb.Tell(time.Second, near, steer.Load{Running: 6, Waiting: 18, Slots: 6, Pace: 1}, 0)
		}, once, 2 * time.Second, "near"},
		{"of no concern", func(tb *steer.Table) { tb.Tell(time.Second, near, slow, 0) }, steer.Kind{Usual: usual}, time.Second, "near"},
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

// onceLoad replays requests that may run once, over 15 servers in three data centres: 88 VMs see
// one each four seconds, so that none knows the servers. A sixth of them is nine times as slow for
// eight seconds, others now and then for a moment.
type onceLoad struct {
	rnd     *rand.Rand
	now     time.Duration
	servers []*origin.Upstream
	vms     []*steer.Table
	checks  bool
	late    int
	all     int
}

const (
	onceVMs   = 88
	onceWork  = 220 * ms
	onceAim   = 800 * ms
	onceRate  = 24
	onceLasts = 20 * time.Second
)

// pace is a server's at the moment.
func (ol *onceLoad) pace(n int) float64 {
	if n%6 == 0 && ol.now > 5*time.Second && ol.now < 13*time.Second {
		return 9
	}
	if ol.rnd.IntN(10) == 0 {
		return 2.5
	}
	return 1
}

func (ol *onceLoad) run() {
	for ; ol.now < onceLasts; ol.now += time.Second / onceRate {
		tb := ol.vms[ol.rnd.IntN(onceVMs)]
		ki := steer.Kind{Usual: onceWork, Told: ol.checks}
		var asked []*origin.Upstream
		for ol.checks && len(asked) < 3 {
			up, _ := tb.Pick(ol.now, ki, ol.servers, asked, ol.rnd.Float64)
			asked = append(asked, up)
		}
		for _, up := range asked {
			tb.Tell(ol.now, up, steer.Load{Running: 1, Slots: 6, Pace: ol.pace(ol.index(up))}, 0)
		}
		up, ok := tb.Pick(ol.now, ki, tb.Ready(ol.now, asked), nil, ol.rnd.Float64)
		if !ok {
			up, _ = tb.Pick(ol.now, ki, ol.servers, asked, ol.rnd.Float64)
		}
		took := time.Duration(float64(onceWork) * math.Exp(0.4*ol.rnd.NormFloat64()))
		if n := ol.index(up); n%6 == 0 && ol.now > 5*time.Second && ol.now < 13*time.Second {
			took *= 9
		}
		tb.Begin(ol.now, onceWork, up.Process())
		tb.End(ol.now+took, up.Process(), steer.Attempt{Verdict: fanout.Served, Took: took, Usual: onceWork})
		ol.all++
		if took > onceAim {
			ol.late++
		}
	}
}

func (ol *onceLoad) index(up *origin.Upstream) int {
	for n, other := range ol.servers {
		if other == up {
			return n
		}
	}
	return -1
}

func playOnce(checks bool) (late float64) {
	ol := &onceLoad{rnd: rand.New(rand.NewPCG(loadSeed, 4)), checks: checks}
	for n := range 15 {
		ol.servers = append(ol.servers, &origin.Upstream{ID: fmt.Sprint(n), DataCentre: fmt.Sprint(n % 3)})
	}
	for n := range onceVMs {
		ol.vms = append(ol.vms, steer.New(steer.Config{DataCentre: fmt.Sprint(n % 3)}))
	}
	ol.run()
	return float64(ol.late) / float64(ol.all)
}

// Requests that may run once go to one server each, and nobody else may be asked when it is slow.
// With the state of three servers known first, hardly any goes to a slow one.
func TestRequestsThatMayRunOnceAvoidSlowServers(t *testing.T) {
	is := is.New(t)
	without, with := playOnce(false), playOnce(true)
	t.Logf("late without %.3f, with %.3f", without, with)
	is.True(without > 0.05)
	is.True(with < 0.02)
}
