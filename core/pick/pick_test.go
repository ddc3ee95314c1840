package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/pick"
	"laburnumvane/core/view"
)

const ms = time.Millisecond

// fixture is a table with servers 0, 1, ... and one shard that all of them hold.
type fixture struct {
	tb    *pick.Table
	vw    view.View
	rnd   *rand.Rand
	shard []view.ServerID
	now   time.Duration
}

func newFixture(servers ...view.Server) *fixture {
	fx := &fixture{tb: pick.New(pick.Config{DataCentre: "east"}), rnd: rand.New(rand.NewPCG(1, 2))}
	for i := range servers {
		servers[i].ID = view.ServerID(i)
		fx.shard = append(fx.shard, servers[i].ID)
	}
	fx.vw = fx.vw.WithServers(servers)
	fx.tb.Grow(len(servers))
	return fx
}

func east(st view.State) view.Server { return view.Server{DataCentre: "east", State: st} }
func west() view.Server              { return view.Server{DataCentre: "west", State: view.StateServing} }

func (fx *fixture) end(id view.ServerID, n int, rs pick.Result, latency time.Duration) {
	for range n {
		fx.tb.Begin(id)
		fx.tb.End(fx.now, id, rs, latency)
	}
}

// pickCounts returns how often each server is chosen in 1000 picks.
func (fx *fixture) pickCounts(tried ...view.ServerID) map[view.ServerID]int {
	counts := make(map[view.ServerID]int)
	ch := fx.tb.Chooser(fx.now, &fx.vw, fx.rnd).WithoutProbes()
	for range 1000 {
		if id, ok := ch.Pick(fx.shard, tried); ok {
			counts[id]++
		}
	}
	return counts
}

func TestPick(t *testing.T) {
	const serving = view.StateServing
	cases := []struct {
		name    string
		servers []view.Server
		tried   []view.ServerID
		before  func(fx *fixture)
		// lower and upper bound the number of picks of each server, out of 1000.
		lower []int
		upper []int
	}{
		{
			name:    "equal servers share evenly",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			lower:   []int{250, 250, 250},
			upper:   []int{420, 420, 420},
		},
		{
			name:    "local data centre first",
			servers: []view.Server{west(), east(serving), west()},
			upper:   []int{0, 1000, 0},
		},
		{
			name:    "no local server",
			servers: []view.Server{west(), west()},
			lower:   []int{400, 400},
			upper:   []int{600, 600},
		},
		{
			name:    "leaving servers get nothing",
			servers: []view.Server{east(view.StateDraining), east(view.StateGone), west()},
			upper:   []int{0, 0, 1000},
		},
		{
			name:    "all are leaving",
			servers: []view.Server{east(view.StateDraining), east(view.StateGone)},
			upper:   []int{0, 0},
		},
		{
			name:    "tried servers are skipped",
			servers: []view.Server{east(serving), east(serving), west()},
			tried:   []view.ServerID{0, 1},
			upper:   []int{0, 0, 1000},
		},
		{
			name:    "a busy server is avoided",
			servers: []view.Server{east(serving), east(serving)},
			before: func(fx *fixture) {
				for range 5 {
					fx.tb.Begin(0)
				}
			},
			upper: []int{0, 1000},
		},
		{
			name:    "a slow server is avoided",
			servers: []view.Server{east(serving), east(serving)},
			before: func(fx *fixture) {
				fx.end(0, 50, pick.Replied, 100*ms)
				fx.end(1, 50, pick.Replied, 5*ms)
			},
			upper: []int{0, 1000},
		},
		{
			name:    "slightly slower local servers keep the work",
			servers: []view.Server{east(serving), west()},
			before: func(fx *fixture) {
				fx.end(0, 50, pick.Replied, 7*ms)
				fx.end(1, 50, pick.Replied, 5*ms)
			},
			upper: []int{1000, 0},
		},
		{
			name:    "much slower local servers lose the work",
			servers: []view.Server{east(serving), west()},
			before: func(fx *fixture) {
				fx.end(0, 50, pick.Replied, 30*ms)
				fx.end(1, 50, pick.Replied, 5*ms)
			},
			upper: []int{0, 1000},
		},
		{
			name:    "a cold server gets little work",
			servers: []view.Server{east(view.StateCold), east(serving)},
			lower:   []int{20, 850},
			upper:   []int{150, 980},
		},
		{
			name:    "a ramping server gets work by its weight",
			servers: []view.Server{{DataCentre: "east", State: serving, Weight: 0.5}, east(serving)},
			lower:   []int{180, 650},
			upper:   []int{350, 820},
		},
		{
			name:    "cold servers are used if there are no others",
			servers: []view.Server{east(view.StateCold), east(view.StateCold)},
			lower:   []int{300, 300},
			upper:   []int{700, 700},
		},
		{
			name:    "fast errors attract no work",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			before: func(fx *fixture) {
				fx.end(1, 50, pick.Replied, 5*ms)
				fx.end(2, 50, pick.Replied, 5*ms)
				fx.end(0, 50, pick.Replied, 5*ms)
				fx.end(0, 8, pick.Failed, 0)
			},
			lower: []int{0, 400, 400},
			upper: []int{0, 600, 600},
		},
		{
			name:    "a shedding server gets less",
			servers: []view.Server{east(serving), east(serving)},
			before: func(fx *fixture) {
				fx.end(0, 20, pick.Replied, 5*ms)
				fx.end(1, 20, pick.Replied, 5*ms)
				fx.end(0, 4, pick.Refused, 0)
			},
			upper: []int{0, 1000},
		},
		{
			name:    "failing local, healthy remote",
			servers: []view.Server{east(serving), west(), west()},
			before:  func(fx *fixture) { fx.end(0, 20, pick.Failed, 0) },
			lower:   []int{0, 400, 400},
			upper:   []int{0, 600, 600},
		},
		{
			name:    "two of three failing: the healthy one is found",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			before: func(fx *fixture) {
				fx.end(0, 20, pick.Failed, 0)
				fx.end(1, 20, pick.Failed, 0)
				fx.end(2, 20, pick.Replied, 5*ms)
			},
			upper: []int{0, 0, 1000},
		},
		{
			name:    "all failing: none is excluded",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			before: func(fx *fixture) {
				for id := range view.ServerID(3) {
					fx.end(id, 20, pick.Failed, 0)
				}
				// Each sub-request in flight raises a server's cost, so that they alternate.
			},
			lower: []int{200, 200, 200},
			upper: []int{470, 470, 470},
		},
		{
			name:    "only a failing server is left to try",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			tried:   []view.ServerID{1, 2},
			before:  func(fx *fixture) { fx.end(0, 20, pick.Failed, 0) },
			upper:   []int{1000, 0, 0},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(tc.servers...)
			if tc.before != nil {
				tc.before(fx)
			}
			got := fx.pickCounts(tc.tried...)
			sum := 0
			for id, upper := range tc.upper {
				n := got[view.ServerID(id)]
				sum += upper
				is.True(n <= upper)
				if tc.lower != nil {
					is.True(n >= tc.lower[id])
				}
			}
			if sum == 0 {
				is.Equal(len(got), 0)
			}
		})
	}
}

// One of three servers starts to return errors immediately. It must get only probes, a few per
// second at most, and regain its share once it is healthy.
func TestFastErrors(t *testing.T) {
	is := is.New(t)
	fx := newFixture(east(view.StateServing), east(view.StateServing), east(view.StateServing))
	bad := 0
	run := func(n int, broken bool) int {
		bad = 0
		for range n {
			fx.now += ms
			id, ok := fx.tb.Chooser(fx.now, &fx.vw, fx.rnd).Pick(fx.shard, nil)
			is.True(ok)
			if id == 0 {
				bad++
			}
			if id == 0 && broken {
				fx.end(id, 1, pick.Failed, 0)
			} else {
				fx.end(id, 1, pick.Replied, 5*ms)
			}
		}
		return bad
	}
	is.True(run(1000, false) > 250)
	fx.end(0, 8, pick.Failed, 0) // in flight when it started to fail
	is.True(fx.tb.Failing(0))
	is.True(run(10_000, true) <= 7) // in 10 s, with a probe interval that doubles up to 4 s
	is.True(fx.tb.Failing(0))
	run(6000, false)
	is.True(!fx.tb.Failing(0))
	is.True(run(3000, false) > 700)
}

// A server becomes slow without failing, and so too expensive to be picked. Old observations lose
// weight, so that it is tried again every few seconds and regains its share once it is fast.
func TestExpensiveServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	fx := newFixture(east(view.StateServing), east(view.StateServing), east(view.StateServing))
	run := func(n int, latency time.Duration) int {
		got := 0
		for range n {
			fx.now += ms
			id, _ := fx.tb.Chooser(fx.now, &fx.vw, fx.rnd).Pick(fx.shard, nil)
			if id != 0 {
				fx.end(id, 1, pick.Replied, 5*ms)
				continue
			}
			got++
			fx.end(id, 1, pick.Replied, latency)
		}
		return got
	}
	is.True(run(1000, 5*ms) > 250)
	is.True(run(10_000, 500*ms) < 100)
	run(10_000, 5*ms)
	is.True(run(3000, 5*ms) > 700)
}

// Whatever was observed, a pick is a replica that neither leaves nor was tried, and one is found as
// long as any is left.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "replicas")
		servers := make([]view.Server, n)
		for i := range servers {
			servers[i] = view.Server{
				DataCentre: rapid.SampledFrom([]string{"east", "west"}).Draw(rt, "dc"),
				State:      view.State(rapid.IntRange(0, 6).Draw(rt, "state")),
			}
		}
		fx := newFixture(servers...)
		for id := range view.ServerID(n) {
			fx.end(id, rapid.IntRange(0, 12).Draw(rt, "replies"), pick.Replied, ms)
			fx.end(id, rapid.IntRange(0, 12).Draw(rt, "failures"), pick.Failed, 0)
		}
		var tried []view.ServerID
		for range n + 1 {
			left := 0
			for id := range view.ServerID(n) {
				if !servers[id].State.Leaving() && !contains(tried, id) {
					left++
				}
			}
			id, ok := fx.tb.Chooser(fx.now, &fx.vw, fx.rnd).Pick(fx.shard, tried)
			if ok != (left > 0) {
				rt.Fatalf("picked: %v, left: %d", ok, left)
			}
			if !ok {
				return
			}
			if servers[id].State.Leaving() || contains(tried, id) {
				rt.Fatalf("picked %d of tried %v", id, tried)
			}
			tried = append(tried, id)
		}
	})
}

// The healthy replicas are busy. With up to half of a shard's replicas failing, these are excluded
// all the same. With more, they share the work, because overloading the few others would turn a
// partial failure into a complete one.
func TestFailingExcludedOnlyUpToHalf(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(rt, "replicas")
		failing := rapid.IntRange(0, n).Draw(rt, "failing")
		servers := make([]view.Server, n)
		for i := range servers {
			servers[i] = east(view.StateServing)
		}
		fx := newFixture(servers...)
		for id := range view.ServerID(n) {
			if int(id) < failing {
				fx.end(id, 20, pick.Failed, 0)
				continue
			}
			for range 100 {
				fx.tb.Begin(id)
			}
		}
		got := fx.pickCounts()
		for id := range view.ServerID(n) {
			isFailing := int(id) < failing
			if failing*2 <= n && isFailing && got[id] > 0 {
				rt.Fatalf("%d of %d failing, picked %v", failing, n, got)
			}
			if failing*2 > n && isFailing && got[id] == 0 {
				rt.Fatalf("%d of %d failing, excluded: %v", failing, n, got)
			}
			if failing*2 <= n && !isFailing && got[id] == 0 {
				rt.Fatalf("%d of %d failing, a healthy one excluded: %v", failing, n, got)
			}
		}
	})
}

func contains(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
