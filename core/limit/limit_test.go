package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/limit"
	"laburnumvane/core/view"
)

const roundTrip = 10 * time.Millisecond

// exchange runs one sub-request from Begin to End and advances the time by its latency.
func exchange(tb *limit.Table, now *time.Duration, id view.ServerID, sa limit.Sample) {
	tb.Begin(*now, id)
	*now += max(sa.Latency, time.Millisecond)
	tb.End(*now, id, sa)
}

func goodReply() limit.Sample {
	return limit.Sample{Kind: limit.Replied, Latency: roundTrip, Running: 1}
}

func TestLimitFollowsReplies(t *testing.T) {
	cases := []struct {
		name   string
		sample limit.Sample
		lower  bool
	}{
		{"no queue", goodReply(), false},
		{"a queue is reported", limit.Sample{Kind: limit.Replied, Latency: roundTrip, Running: 3, Queued: 3}, true},
		{"one waiting sub-request is not a queue", limit.Sample{Kind: limit.Replied, Latency: roundTrip, Running: 1, Queued: 1}, false},
		{"slow, and no load is reported", limit.Sample{Kind: limit.Replied, Latency: 5 * roundTrip}, true},
		{"shed", limit.Sample{Kind: limit.Shed, Latency: time.Millisecond}, true},
		{"fast errors", limit.Sample{Kind: limit.Failed, Latency: time.Millisecond}, true},
		{"cancelled after a long time", limit.Sample{Kind: limit.Neutral, Latency: 100 * roundTrip}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := newTable(3)
			now := time.Duration(0)
			for range 50 {
				exchange(tb, &now, 0, goodReply())
			}
			before := tb.Limit(0)
			for range 20 {
				exchange(tb, &now, 0, tc.sample)
			}
			is.Equal(tb.Limit(0) < before, tc.lower)
		})
	}
}

// All three servers of a group fail. The group must not count as full, since a broken
// server is not one at capacity: searches continue on the shards of the other group,
// and callers get partial answers at once.
func TestFailingGroupDoesNotBlockSearches(t *testing.T) {
	is := is.New(t)
	tb, pool := newTable(6)
	now := time.Duration(0)
	for id := range view.ServerID(3) {
		for range 20 {
			exchange(tb, &now, id, limit.Sample{Kind: limit.Failed, Latency: time.Millisecond})
		}
	}
	for id := range view.ServerID(3) {
		tb.Begin(now, id)
		is.True(!tb.HasCapacity(now, id))
	}
	is.True(pool.HasCapacity(now, 2))
	_, ok := tb.Fallback([]view.ServerID{0, 1, 2})
	is.True(!ok)
	id, ok := tb.Fallback([]view.ServerID{2, 5})
	is.True(ok)
	is.Equal(id, view.ServerID(5))
}

// The clock is set back by an hour and forward again, also while a limit below 1 is
// paced. Pacing, decreases and increases use the time between two replies; a negative
// one counts as 0, a long one as eight round trips. Limits must hardly change.
func TestClockSteps(t *testing.T) {
	is := is.New(t)
	tb, _ := newTable(3)
	now := 2 * time.Hour
	for range 50 {
		exchange(tb, &now, 0, goodReply())
	}
	before := tb.Limit(0)
	now = time.Hour
	for range 10 {
		exchange(tb, &now, 0, goodReply())
	}
	is.True(tb.Limit(0) >= before/2 && tb.Limit(0) <= 2*before)
	now = 99 * time.Hour
	exchange(tb, &now, 0, goodReply())
	is.True(tb.Limit(0) <= 2*before)
	is.True(tb.HasCapacity(now, 0))
	for range 60 {
		exchange(tb, &now, 0, limit.Sample{Kind: limit.Shed})
	}
	is.True(tb.Limit(0) < 1)
	now = time.Hour
	is.True(tb.HasCapacity(now, 0))
	low := tb.Limit(0)
	exchange(tb, &now, 0, limit.Sample{Kind: limit.Shed})
	is.True(tb.Limit(0) <= low)
	now += time.Minute
	exchange(tb, &now, 0, goodReply())
	is.True(tb.Limit(0) > low)
	is.Equal(tb.InFlight(0), 0)
}

// An excluded server no longer adds to the limit of its group; when it is included
// again, it starts with the initial limit.
func TestSetExcluded(t *testing.T) {
	is := is.New(t)
	tb, pool := newTable(3)
	now := time.Duration(0)
	for id := range view.ServerID(3) {
		tb.Begin(now, id)
		tb.Begin(now, id)
	}
	is.True(!pool.HasCapacity(now, 1)) // six in flight; the limit is three servers times two
	tb.End(now, 0, limit.Sample{Kind: limit.Neutral})
	is.True(pool.HasCapacity(now, 1))
	tb.SetExcluded(1, true)
	is.True(!pool.HasCapacity(now, 1))
	for range 9 {
		exchange(tb, &now, 1, limit.Sample{Kind: limit.Failed})
	}
	tb.SetExcluded(1, false)
	is.Equal(tb.Limit(1), 2.0)
	is.True(pool.HasCapacity(now, 1))
}
