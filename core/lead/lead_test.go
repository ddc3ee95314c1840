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

// Callers stand 1, 3 and 12 ms away, on kept and on fresh connections. Each waits
// for an answer that is sent when its time has come, and must have it by its target,
// and not much before: each millisecond too early is one less for the last shard.
func TestArrivesByTheTarget(t *testing.T) {
	const target = 60 * ms
	cases := []struct {
		name   string
		oneWay time.Duration
		fresh  bool
	}{
		{"near", ms, false},
		{"near, fresh", ms, true},
		{"farther", 3 * ms, false},
		{"farther, fresh", 3 * ms, true},
		{"another region", 12 * ms, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ld := lead.New(lead.Config{})
			came := tc.oneWay
			if tc.fresh {
				came += 2 * tc.oneWay
			}
			leaves := target - ld.Time(lead.Trip{RoundTrip: 2 * tc.oneWay, Fresh: tc.fresh})
			arrives := came + leaves + tc.oneWay
			is.True(arrives <= target)
			is.True(arrives > target-3*ms)
		})
	}
}

func TestUnknownWay(t *testing.T) {
	is := is.New(t)
	ld := lead.New(lead.Config{})
	is.Equal(ld.Time(lead.Trip{}), lead.DefaultRoundTrip+lead.DefaultWriting)
	is.Equal(ld.Away(lead.Trip{Fresh: true}), 2*lead.DefaultRoundTrip)
}

// A VM's processor is short for a while, and its timers fire some milliseconds late.
// Answers would be late by as much; about nine in ten must be covered by what is
// allowed for, and once the timers are on time again it must be given back.
func TestLateTimers(t *testing.T) {
	is := is.New(t)
	ld := lead.New(lead.Config{})
	idle := ld.Own()
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration { return time.Duration(rnd.ExpFloat64() * float64(2*ms)) }
	for range 300 {
		ld.Woke(draw())
	}
	var seen []time.Duration
	covered := 0
	for range 1000 {
		late := draw()
		if late <= ld.Own()-idle {
			covered++
		}
		seen = append(seen, late)
		ld.Woke(late)
	}
	sort.Slice(seen, func(i, j int) bool { return seen[i] < seen[j] })
	is.True(covered > 850)
	is.True(ld.Own()-idle < seen[990]+ms)
	for range 200 {
		ld.Woke(0)
	}
	is.True(ld.Own()-idle < ms/10)
	ld.Woke(time.Hour)
	is.True(ld.Own()-idle < 10*ms)
}
