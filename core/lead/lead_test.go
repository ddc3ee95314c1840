package lead_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/lead"
)

const ms = time.Millisecond

// Callers are 1, 3 and 12 ms away, on kept and on fresh connections. Each gets an answer that
// is sent at the computed time. It must arrive by the target time and not much earlier: each
// millisecond too early is one less for the last shard.
func TestAnswerArrivesByTarget(t *testing.T) {
	const target = 60 * ms
	cases := []struct {
		name   string
		oneWay time.Duration
		fresh  bool
	}{
		{"near", ms, false},
		{"near, fresh connection", ms, true},
		{"farther", 3 * ms, false},
		{"farther, fresh connection", 3 * ms, true},
		{"another region", 12 * ms, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ld := lead.New(lead.Config{})
			arrived := tc.oneWay
			if tc.fresh {
				arrived += 2 * tc.oneWay
			}
			sendAt := target - ld.Time(lead.Path{RoundTrip: 2 * tc.oneWay, FirstRequest: tc.fresh})
			receivedAt := arrived + sendAt + tc.oneWay
			is.True(receivedAt <= target)
			is.True(receivedAt > target-3*ms)
		})
	}
}

// A small VM takes longer to write an answer. With the time of a larger VM, its answers arrive
// some milliseconds after the target.
func TestWriteTimeFollowsCapacity(t *testing.T) {
	for _, tc := range []struct {
		cores float64
		want  time.Duration
	}{
		{0, lead.DefaultWriteTime},
		{0.8, lead.DefaultWriteTime},
		{0.4, lead.DefaultWriteTime},
		{0.2, 2 * lead.DefaultWriteTime},
		{0.01, 4 * lead.DefaultWriteTime},
	} {
		is := is.New(t)
		is.Equal(lead.New(lead.Config{Capacity: tc.cores}).LocalTime(), tc.want)
	}
}

func TestUnknownRoundTrip(t *testing.T) {
	is := is.New(t)
	ld := lead.New(lead.Config{})
	is.Equal(ld.Time(lead.Path{}), lead.DefaultRoundTrip+lead.DefaultWriteTime)
	is.Equal(ld.TransitTime(lead.Path{FirstRequest: true}), 2*lead.DefaultRoundTrip)
}

// A VM lacks processor time for a while, and its timers fire some milliseconds late. Without
// an allowance answers would be late by as much. The allowance must cover about nine in ten
// timers, and must fall again once timers are on time.
func TestLateTimers(t *testing.T) {
	is := is.New(t)
	ld := lead.New(lead.Config{})
	idle := ld.LocalTime()
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration { return time.Duration(rnd.ExpFloat64() * float64(2*ms)) }
	for range 300 {
		ld.RecordLateness(draw())
	}
	var latenesses []time.Duration
	covered := 0
	for range 1000 {
		late := draw()
		if late <= ld.LocalTime()-idle {
			covered++
		}
		latenesses = append(latenesses, late)
		ld.RecordLateness(late)
	}
	sort.Slice(latenesses, func(i, j int) bool { return latenesses[i] < latenesses[j] })
	is.True(covered > 850)
	is.True(ld.LocalTime()-idle < latenesses[990]+ms)
	for range 200 {
		ld.RecordLateness(0)
	}
	is.True(ld.LocalTime()-idle < ms/10)
	ld.RecordLateness(time.Hour)
	is.True(ld.LocalTime()-idle < 10*ms)
}
