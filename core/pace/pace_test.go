package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/pace"
)

const gather = 36

// run ends requests every interval, all of which take the same time and meet the same delay.
func run(es *pace.Estimator, from time.Duration, n int, took, delay time.Duration, limited bool) time.Duration {
	for range n {
		from += took / 8
		es.Begin(gather)
		es.Late(delay)
		es.End(from, gather, took, limited)
	}
	return from
}

// The window grows only while it limits the work and the delay is allowed, is cut while it is not,
// and never falls below what keeps a VM with little processor time busy. While few requests come, it
// must stay, or the next few that come together wait on an idle VM.
func TestWindow(t *testing.T) {
	const took = 40 * time.Millisecond
	cases := []struct {
		name    string
		delay   time.Duration
		limited bool
		check   func(before, after float64) bool
	}{
		{"room and limited", time.Millisecond, true, func(b, a float64) bool { return a > 2*b }},
		{"room and not limited", time.Millisecond, false, func(b, a float64) bool { return a == b }},
		{"delayed", 100 * time.Millisecond, true, func(_, a float64) bool { return a == pace.DefaultLeast*gather }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			es := pace.New(pace.Config{})
			es.Begin(gather)
			before := es.Window()
			is.Equal(before, float64(pace.DefaultInitial*gather))
			run(es, 0, 200, took, tc.delay, tc.limited)
			is.True(tc.check(before, es.Window()))
		})
	}
}

// A window that has grown and is not used up must shrink again: if the capacity falls, this VM
// starts more than it can do by as much.
func TestUnusedWindowShrinks(t *testing.T) {
	is := is.New(t)
	es := pace.New(pace.Config{})
	now := run(es, 0, 200, 40*time.Millisecond, time.Millisecond, true)
	is.True(es.Window() > pace.DefaultInitial*gather)
	run(es, now, 2000, 40*time.Millisecond, time.Millisecond, false)
	is.Equal(es.Window(), float64(pace.DefaultInitial*gather))
}

// The first small requests must not leave a window that is too small for large ones.
func TestLargerRequests(t *testing.T) {
	is := is.New(t)
	es := pace.New(pace.Config{})
	es.Begin(1)
	is.True(es.Window() < float64(pace.DefaultInitial*gather))
	es.Begin(gather)
	is.Equal(es.Window(), float64(pace.DefaultInitial*gather))
}

// What this VM needs to send a request is not delay; what exceeds it is, also after a long overload.
func TestSentDelay(t *testing.T) {
	is := is.New(t)
	es := pace.New(pace.Config{})
	es.Begin(gather)
	now := time.Duration(0)
	for range 100 {
		now += 10 * time.Millisecond
		es.Sent(now, gather, 20*time.Millisecond)
	}
	is.True(es.Delay() < time.Millisecond)
	for range 500 {
		now += 10 * time.Millisecond
		es.Sent(now, gather, 80*time.Millisecond)
	}
	is.True(es.Delay() > 50*time.Millisecond)
	is.True(es.Behind())
}

func TestSum(t *testing.T) {
	is := is.New(t)
	var su pace.Sum
	su.Add(time.Second, time.Second, 10)
	is.Equal(su.Value(time.Second, time.Second), 10.0)
	is.Equal(su.Value(0, time.Second), 10.0) // time never goes back
	is.True(su.Value(2*time.Second, time.Second) < 4)
}
