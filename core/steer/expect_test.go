package steer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
)

// Requests were refused for one slow shard although the least coverage could be met, or sent
// although it could not.
func TestCoverage(t *testing.T) {
	const usual = 10 * time.Millisecond
	cases := []struct {
		name     string
		slow     int
		lost     int
		minParts int
		enough   bool
		inTime   bool
	}{
		{"all healthy", 0, 0, 4, true, true},
		{"one slow shard, not needed", 1, 0, 3, true, true},
		{"one slow shard, needed", 1, 0, 4, true, false},
		{"one shard without server, not needed", 0, 1, 3, true, true},
		{"one shard without server, needed", 0, 1, 4, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{DataCentre: "east"})
			var shards [][]*origin.Upstream
			for _, id := range []string{"a", "b", "c", "d"} {
				shards = append(shards, []*origin.Upstream{{ID: id, Addr: id, DataCentre: "east"}})
			}
			now := time.Second
			for i := range tc.slow {
				up := shards[i][0]
				for range 3 {
					tb.Begin(now, usual, up.Process())
					now += 8 * usual
					tb.End(now, up.Process(), steer.Result{Verdict: fanout.Served, Latency: 8 * usual, UsualLatency: usual})
				}
			}
			for i := range tc.lost {
				tb.RecordConnect(now, shards[i][0].Process(), false)
			}
			after, enough := tb.Coverage(now, usual, shards, tc.minParts)
			is.Equal(enough, tc.enough)
			is.Equal(enough && after < 2*usual, tc.inTime)
		})
	}
}

// The valve took a slow or silent server for a lack of capacity, and refused requests that other
// servers could have answered.
func TestCapacity(t *testing.T) {
	const usual, limit = 10 * time.Millisecond, 60 * time.Millisecond
	served := steer.Result{Verdict: fanout.Served, Latency: usual, UsualLatency: usual, MaxConnections: 2}
	slow := func(tb *steer.Table, now time.Duration, up *origin.Upstream, load steer.Load) {
		for range 3 {
			tb.Begin(now, usual, up.Process())
			now += 8 * usual
			tb.RecordLoad(now, up, load, 8*usual)
			tb.End(now, up.Process(), steer.Result{Verdict: fanout.Served, Latency: 8 * usual, UsualLatency: usual, MaxConnections: 2})
		}
	}
	cases := []struct {
		name    string
		observe func(tb *steer.Table, now time.Duration, up *origin.Upstream)
		want    fanout.Capacity
	}{
		{"nothing seen", func(*steer.Table, time.Duration, *origin.Upstream) {}, fanout.CapacityFree},
		{"no connection", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			tb.RecordConnect(now, up.Process(), false)
		}, fanout.CapacityNone},
		{"silent", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			tb.Begin(now-400*time.Millisecond, usual, up.Process())
		}, fanout.CapacityNone},
		{"paused", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			tb.Begin(now-100*time.Millisecond, usual, up.Process())
		}, fanout.CapacityFree},
		{"failing", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			for range 3 {
				tb.Begin(now, usual, up.Process())
				tb.End(now, up.Process(), steer.Result{Verdict: fanout.Failed, Latency: usual, UsualLatency: usual})
			}
		}, fanout.CapacityNone},
		{"window used up", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			tb.Begin(now, usual, up.Process())
			tb.End(now, up.Process(), served)
			tb.Begin(now, usual, up.Process())
			tb.Begin(now, usual, up.Process())
		}, fanout.CapacityFull},
		{"refusing", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			tb.Begin(now, usual, up.Process())
			tb.End(now, up.Process(), steer.Result{Verdict: fanout.Refused, Latency: usual, UsualLatency: usual})
		}, fanout.CapacityFull},
		{"queue reported", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			tb.RecordLoad(now, up, steer.Load{Running: 3, Waiting: 4, Slots: 3}, usual)
		}, fanout.CapacityFull},
		{"queue reported long ago", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			tb.RecordLoad(now-200*time.Millisecond, up, steer.Load{Running: 3, Waiting: 4, Slots: 3}, usual)
		}, fanout.CapacityFree},
		{"slow by itself", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			slow(tb, now-3*8*usual, up, steer.Load{Running: 3, Waiting: 4, Slots: 3, Slowdown: 8})
		}, fanout.CapacityNone},
		{"slow for its queue", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			slow(tb, now-3*8*usual, up, steer.Load{Running: 3, Waiting: 20, Slots: 3, Slowdown: 1})
		}, fanout.CapacityFull},
		{"slow, with spare capacity", func(tb *steer.Table, now time.Duration, up *origin.Upstream) {
			slow(tb, now-3*8*usual, up, steer.Load{Running: 0, Slots: 3, Slowdown: 1})
		}, fanout.CapacityNone},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{DataCentre: "east"})
			const now = 10 * time.Second
			up := &origin.Upstream{ID: "a", Addr: "a", DataCentre: "east"}
			tc.observe(tb, now, up)
			is.Equal(tb.Capacity(now, usual, limit, []*origin.Upstream{up}), tc.want)
			// One server of several in that state does not matter.
			other := &origin.Upstream{ID: "b", Addr: "b", DataCentre: "east"}
			is.Equal(tb.Capacity(now, usual, limit, []*origin.Upstream{up, other}), fanout.CapacityFree)
			is.Equal(tb.Capacity(now, usual, limit, []*origin.Upstream{up.WithLeaving()}), fanout.CapacityNone)
		})
	}
}
