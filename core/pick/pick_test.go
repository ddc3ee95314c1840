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

// rig is a table over servers 0, 1, ... and one shard that they all hold.
type rig struct {
	tb  *pick.Table
	vw  view.View
	rnd *rand.Rand
	all []view.ServerID
	now time.Duration
}

func newRig(servers ...view.Server) *rig {
	ri := &rig{tb: pick.New(pick.Config{DataCentre: "east"}), rnd: rand.New(rand.NewPCG(1, 2))}
	for i := range servers {
		servers[i].ID = view.ServerID(i)
		ri.all = append(ri.all, servers[i].ID)
	}
	ri.vw = ri.vw.WithServers(servers)
	ri.tb.Grow(len(servers))
	return ri
}

func east(st view.State) view.Server { return view.Server{DataCentre: "east", State: st} }
func west() view.Server              { return view.Server{DataCentre: "west", State: view.StateServing} }

func (ri *rig) end(id view.ServerID, n int, rs pick.Result, latency time.Duration) {
	for range n {
		ri.tb.Begin(id)
		ri.tb.End(ri.now, id, rs, latency)
	}
}

// shares is how often each server is picked, of a thousand.
func (ri *rig) shares(tried ...view.ServerID) map[view.ServerID]int {
	counts := make(map[view.ServerID]int)
	ch := ri.tb.Chooser(ri.now, &ri.vw, ri.rnd).WithoutProbes()
	for range 1000 {
		if id, ok := ch.Pick(ri.all, tried); ok {
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
		before  func(ri *rig)
		// least and most bound the picks of a thousand, by server.
		least []int
		most  []int
	}{
		{
			name:    "equals share",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			least:   []int{250, 250, 250},
			most:    []int{420, 420, 420},
		},
		{
			name:    "own data centre first",
			servers: []view.Server{west(), east(serving), west()},
			most:    []int{0, 1000, 0},
		},
		{
			name:    "none near",
			servers: []view.Server{west(), west()},
			least:   []int{400, 400},
			most:    []int{600, 600},
		},
		{
			name:    "leaving servers get nothing",
			servers: []view.Server{east(view.StateDraining), east(view.StateGone), west()},
			most:    []int{0, 0, 1000},
		},
		{
			name:    "all leave",
			servers: []view.Server{east(view.StateDraining), east(view.StateGone)},
			most:    []int{0, 0},
		},
		{
			name:    "tried ones are passed over",
			servers: []view.Server{east(serving), east(serving), west()},
			tried:   []view.ServerID{0, 1},
			most:    []int{0, 0, 1000},
		},
		{
			name:    "a busy server waits",
			servers: []view.Server{east(serving), east(serving)},
			before: func(ri *rig) {
				for range 5 {
					ri.tb.Begin(0)
				}
			},
			most: []int{0, 1000},
		},
		{
			name:    "a slow server is avoided",
			servers: []view.Server{east(serving), east(serving)},
			before: func(ri *rig) {
				ri.end(0, 50, pick.Replied, 100*ms)
				ri.end(1, 50, pick.Replied, 5*ms)
			},
			most: []int{0, 1000},
		},
		{
			name:    "near ones a little worse keep the work",
			servers: []view.Server{east(serving), west()},
			before: func(ri *rig) {
				ri.end(0, 50, pick.Replied, 7*ms)
				ri.end(1, 50, pick.Replied, 5*ms)
			},
			most: []int{1000, 0},
		},
		{
			name:    "near ones clearly worse spill",
			servers: []view.Server{east(serving), west()},
			before: func(ri *rig) {
				ri.end(0, 50, pick.Replied, 30*ms)
				ri.end(1, 50, pick.Replied, 5*ms)
			},
			most: []int{0, 1000},
		},
		{
			name:    "a cold server gets a trickle",
			servers: []view.Server{east(view.StateCold), east(serving)},
			least:   []int{20, 850},
			most:    []int{150, 980},
		},
		{
			name:    "a ramping server gets its weight",
			servers: []view.Server{{DataCentre: "east", State: serving, Weight: 0.5}, east(serving)},
			least:   []int{180, 650},
			most:    []int{350, 820},
		},
		{
			name:    "only cold ones: better than none",
			servers: []view.Server{east(view.StateCold), east(view.StateCold)},
			least:   []int{300, 300},
			most:    []int{700, 700},
		},
		{
			name:    "fast errors attract nothing",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			before: func(ri *rig) {
				ri.end(1, 50, pick.Replied, 5*ms)
				ri.end(2, 50, pick.Replied, 5*ms)
				ri.end(0, 50, pick.Replied, 5*ms)
				ri.end(0, 8, pick.Failed, 0)
			},
			least: []int{0, 400, 400},
			most:  []int{0, 600, 600},
		},
		{
			name:    "shedding attracts less",
			servers: []view.Server{east(serving), east(serving)},
			before: func(ri *rig) {
				ri.end(0, 20, pick.Replied, 5*ms)
				ri.end(1, 20, pick.Replied, 5*ms)
				ri.end(0, 4, pick.Refused, 0)
			},
			most: []int{0, 1000},
		},
		{
			name:    "sick near, well far",
			servers: []view.Server{east(serving), west(), west()},
			before:  func(ri *rig) { ri.end(0, 20, pick.Failed, 0) },
			least:   []int{0, 400, 400},
			most:    []int{0, 600, 600},
		},
		{
			name:    "two of three sick: the well one is found",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			before: func(ri *rig) {
				ri.end(0, 20, pick.Failed, 0)
				ri.end(1, 20, pick.Failed, 0)
				ri.end(2, 20, pick.Replied, 5*ms)
			},
			most: []int{0, 0, 1000},
		},
		{
			name:    "all sick: the signal is wrong, all serve",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			before: func(ri *rig) {
				for id := range view.ServerID(3) {
					ri.end(id, 20, pick.Failed, 0)
				}
				// What one is given makes it the dearest.
			},
			least: []int{200, 200, 200},
			most:  []int{470, 470, 470},
		},
		{
			name:    "only a sick one is left to try",
			servers: []view.Server{east(serving), east(serving), east(serving)},
			tried:   []view.ServerID{1, 2},
			before:  func(ri *rig) { ri.end(0, 20, pick.Failed, 0) },
			most:    []int{1000, 0, 0},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ri := newRig(tc.servers...)
			if tc.before != nil {
				tc.before(ri)
			}
			got := ri.shares(tc.tried...)
			sum := 0
			for id, most := range tc.most {
				n := got[view.ServerID(id)]
				sum += most
				is.True(n <= most)
				if tc.least != nil {
					is.True(n >= tc.least[id])
				}
			}
			if sum == 0 {
				is.Equal(len(got), 0)
			}
		})
	}
}

// One of three servers answers errors at once from some moment on. Its share of
// the work falls to the probes, a few a second, and comes back when it is well.
func TestFastErrors(t *testing.T) {
	is := is.New(t)
	ri := newRig(east(view.StateServing), east(view.StateServing), east(view.StateServing))
	bad := 0
	run := func(n int, broken bool) int {
		bad = 0
		for range n {
			ri.now += ms
			id, ok := ri.tb.Chooser(ri.now, &ri.vw, ri.rnd).Pick(ri.all, nil)
			is.True(ok)
			if id == 0 {
				bad++
			}
			if id == 0 && broken {
				ri.end(id, 1, pick.Failed, 0)
			} else {
				ri.end(id, 1, pick.Replied, 5*ms)
			}
		}
		return bad
	}
	is.True(run(1000, false) > 250)
	ri.end(0, 8, pick.Failed, 0) // what was in flight when it broke
	is.True(ri.tb.Sick(0))
	is.True(run(10_000, true) <= 7) // in 10 s, each wait twice the one before, up to 4 s
	is.True(ri.tb.Sick(0))
	run(6000, false)
	is.True(!ri.tb.Sick(0))
	is.True(run(3000, false) > 700)
}

// The same without a burst: it never looks sick, since the first few failures
// make it too dear to be drawn. What is held against it fades, so that it is
// tried again every few seconds, and it gets its share back once it is well.
func TestDearServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	ri := newRig(east(view.StateServing), east(view.StateServing), east(view.StateServing))
	run := func(n int, latency time.Duration) int {
		got := 0
		for range n {
			ri.now += ms
			id, _ := ri.tb.Chooser(ri.now, &ri.vw, ri.rnd).Pick(ri.all, nil)
			if id != 0 {
				ri.end(id, 1, pick.Replied, 5*ms)
				continue
			}
			got++
			ri.end(id, 1, pick.Replied, latency)
		}
		return got
	}
	is.True(run(1000, 5*ms) > 250)
	is.True(run(10_000, 500*ms) < 100)
	run(10_000, 5*ms)
	is.True(run(3000, 5*ms) > 700)
}

// Whatever was seen, a pick is a replica that neither leaves nor was tried, and
// there is one if any such is left; at most half of the live replicas are left
// out for sickness.
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
		ri := newRig(servers...)
		for id := range view.ServerID(n) {
			ri.end(id, rapid.IntRange(0, 12).Draw(rt, "replies"), pick.Replied, ms)
			ri.end(id, rapid.IntRange(0, 12).Draw(rt, "failures"), pick.Failed, 0)
		}
		var tried []view.ServerID
		for range n + 1 {
			left := 0
			for id := range view.ServerID(n) {
				if !servers[id].State.Leaving() && !isIn(tried, id) {
					left++
				}
			}
			id, ok := ri.tb.Chooser(ri.now, &ri.vw, ri.rnd).Pick(ri.all, tried)
			if ok != (left > 0) {
				rt.Fatalf("picked: %v, left: %d", ok, left)
			}
			if !ok {
				return
			}
			if servers[id].State.Leaving() || isIn(tried, id) {
				rt.Fatalf("picked %d of tried %v", id, tried)
			}
			tried = append(tried, id)
		}
	})
}

// The well replicas are crowded. With up to half of a shard's replicas sick,
// those are left out all the same; with more, they share the work, for to crowd
// the few others further would turn a partial fault into a whole one.
func TestNeverMostLeftOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(rt, "replicas")
		sick := rapid.IntRange(0, n).Draw(rt, "sick")
		servers := make([]view.Server, n)
		for i := range servers {
			servers[i] = east(view.StateServing)
		}
		ri := newRig(servers...)
		for id := range view.ServerID(n) {
			if int(id) < sick {
				ri.end(id, 20, pick.Failed, 0)
				continue
			}
			for range 100 {
				ri.tb.Begin(id)
			}
		}
		got := ri.shares()
		for id := range view.ServerID(n) {
			isSick := int(id) < sick
			if sick*2 <= n && isSick && got[id] > 0 {
				rt.Fatalf("%d of %d sick, picked %v", sick, n, got)
			}
			if sick*2 > n && isSick && got[id] == 0 {
				rt.Fatalf("%d of %d sick, left out: %v", sick, n, got)
			}
			if sick*2 <= n && !isSick && got[id] == 0 {
				rt.Fatalf("%d of %d sick, a well one left out: %v", sick, n, got)
			}
		}
	})
}

func isIn(ids []view.ServerID, id view.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
