package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/limit"
	"laburnumvane/core/view"
)

const trip = 10 * time.Millisecond

// exchange is one sub-request from begin to end.
func exchange(tb *limit.Table, now *time.Duration, id view.ServerID, sa limit.Sample) {
	tb.Begin(*now, id)
	*now += max(sa.Latency, time.Millisecond)
	tb.End(*now, id, sa)
}

func good() limit.Sample {
	return limit.Sample{Kind: limit.Replied, Latency: trip, Running: 1}
}

func TestLimitFollowsReplies(t *testing.T) {
	cases := []struct {
		name   string
		sample limit.Sample
		lower  bool
	}{
		{"no queue", good(), false},
		{"a queue is reported", limit.Sample{Kind: limit.Replied, Latency: trip, Running: 3, Queued: 3}, true},
		{"one that waits is no queue", limit.Sample{Kind: limit.Replied, Latency: trip, Running: 1, Queued: 1}, false},
		{"slow, and no account is given", limit.Sample{Kind: limit.Replied, Latency: 5 * trip}, true},
		{"shed", limit.Sample{Kind: limit.Shed, Latency: time.Millisecond}, true},
		{"fast errors", limit.Sample{Kind: limit.Failed, Latency: time.Millisecond}, true},
		{"given up after long", limit.Sample{Kind: limit.Neutral, Latency: 100 * trip}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := tableOf(3)
			now := time.Duration(0)
			for range 50 {
				exchange(tb, &now, 0, good())
			}
			before := tb.Limit(0)
			for range 20 {
				exchange(tb, &now, 0, tc.sample)
			}
			is.Equal(tb.Limit(0) < before, tc.lower)
		})
	}
}

// What the caller sees: partial answers at once, while one service fails whole.
// All three servers of a group fail; the group is out of the count of full
// ones, so the searches go on for the shards of the other.
// Why: a server that fails is not one that is full.
func TestFailingGroupHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	tb, pool := tableOf(6)
	now := time.Duration(0)
	for id := range view.ServerID(3) {
		for range 20 {
			exchange(tb, &now, id, limit.Sample{Kind: limit.Failed, Latency: time.Millisecond})
		}
	}
	for id := range view.ServerID(3) {
		tb.Begin(now, id)
		is.True(!tb.Room(now, id))
	}
	is.True(pool.Room(now, 2))
	_, ok := tb.Fallback([]view.ServerID{0, 1, 2})
	is.True(!ok)
	id, ok := tb.Fallback([]view.ServerID{2, 5})
	is.True(ok)
	is.Equal(id, view.ServerID(5))
}

// What the caller sees: nothing. The clock steps back by an hour and forth, also
// where a limit below 1 is paced.
// Pacing, cuts and steps up go by the time between two replies; one that is
// negative counts as none, a long one as eight round trips.
func TestClockSteps(t *testing.T) {
	is := is.New(t)
	tb, _ := tableOf(3)
	now := 2 * time.Hour
	for range 50 {
		exchange(tb, &now, 0, good())
	}
	before := tb.Limit(0)
	now = time.Hour
	for range 10 {
		exchange(tb, &now, 0, good())
	}
	is.True(tb.Limit(0) >= before/2 && tb.Limit(0) <= 2*before)
	now = 99 * time.Hour
	exchange(tb, &now, 0, good())
	is.True(tb.Limit(0) <= 2*before)
	is.True(tb.Room(now, 0))
	for range 60 {
		exchange(tb, &now, 0, limit.Sample{Kind: limit.Shed})
	}
	is.True(tb.Limit(0) < 1)
	now = time.Hour
	is.True(tb.Room(now, 0))
	low := tb.Limit(0)
	exchange(tb, &now, 0, limit.Sample{Kind: limit.Shed})
	is.True(tb.Limit(0) <= low)
	now += time.Minute
	exchange(tb, &now, 0, good())
	is.True(tb.Limit(0) > low)
	is.Equal(tb.InFlight(0), 0)
}

// A server that leaves takes its part out of the group's room; the process that
// comes back in its place starts anew.
func TestSetOut(t *testing.T) {
	is := is.New(t)
	tb, pool := tableOf(3)
	now := time.Duration(0)
	for id := range view.ServerID(3) {
		tb.Begin(now, id)
		tb.Begin(now, id)
	}
	is.True(!pool.Room(now, 1)) // six in flight of three times two
	tb.End(now, 0, limit.Sample{Kind: limit.Neutral})
	is.True(pool.Room(now, 1))
	tb.SetOut(1, true)
	is.True(!pool.Room(now, 1))
	for range 9 {
		exchange(tb, &now, 1, limit.Sample{Kind: limit.Failed})
	}
	tb.SetOut(1, false)
	is.Equal(tb.Limit(1), 2.0)
	is.True(pool.Room(now, 1))
}
