package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/place"
)

func half() float64 { return 0.5 }

func twoTargets() []place.Target {
	return []place.Target{
		{Addr: "near", Local: true, Cost: 20 * ms, Base: 20 * ms},
		{Addr: "far", Cost: 50 * ms, Base: 50 * ms},
	}
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name    string
		observe func(tb *place.Table)
		now     time.Duration
		own     time.Duration
		want    int
	}{
		{"nothing known", func(*place.Table) {}, time.Second, 70 * ms, 0},
		{"busy, but nearer", func(tb *place.Table) { tb.Report(time.Second, "near", place.Load{Wait: 25 * ms}) }, time.Second, 0, 0},
		{"busier than the way is long", func(tb *place.Table) { tb.Report(time.Second, "near", place.Load{Wait: 40 * ms}) }, time.Second, 0, 1},
		{"the same long ago", func(tb *place.Table) { tb.Report(time.Second, "near", place.Load{Wait: 40 * ms}) }, 3 * time.Second, 0, 0},
		{"declined", func(tb *place.Table) { tb.Decline(time.Second, "near", false) }, time.Second, 0, 1},
		{"declined a while ago", func(tb *place.Table) { tb.Decline(time.Second, "near", false) }, time.Second + 100*ms, 0, 0},
		{"declined again and again", func(tb *place.Table) {
			for range 4 {
				tb.Decline(time.Second, "near", false)
			}
		}, time.Second + 700*ms, 0, 1},
		{"declined long after a report", func(tb *place.Table) {
			tb.Report(time.Second, "near", place.Load{Wait: 200 * ms})
			tb.Decline(9*time.Second, "near", false)
		}, 9*time.Second + 100*ms, 0, 0},
		{"stops", func(tb *place.Table) { tb.Decline(time.Second, "near", true) }, time.Second + 1500*ms, 0, 1},
		{"all declined", func(tb *place.Table) {
			tb.Decline(time.Second, "near", false)
			tb.Decline(time.Second, "far", false)
		}, time.Second, 0, place.Self},
		{"sooner here", func(tb *place.Table) {
			tb.Report(time.Second, "near", place.Load{Wait: 200 * ms})
			tb.Report(time.Second, "far", place.Load{Wait: 200 * ms})
		}, time.Second, 70 * ms, place.Self},
		{"hardly sooner here", func(*place.Table) {}, time.Second, 15 * ms, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tb := place.New(place.Config{})
			tc.observe(tb)
			choice, _ := tb.Choose(tc.now, twoTargets(), tc.own, half)
			is.New(t).Equal(choice, tc.want)
		})
	}
}

// A VM that had declined answers again. Its earlier declines must not count at the next one.
func TestAnswerEndsDeclines(t *testing.T) {
	is := is.New(t)
	tb := place.New(place.Config{})
	for range 4 {
		tb.Decline(time.Second, "near", false)
	}
	tb.Report(3*time.Second, "near", place.Load{})
	tb.Decline(4*time.Second, "near", false)
	choice, _ := tb.Choose(4*time.Second+150*ms, twoTargets(), 0, half)
	is.Equal(choice, 0)
}

// Slow servers make the answers of all large VMs late. A small VM must not take that for overload of
// the large ones: it would run the request itself, meet the same servers and know less about them.
func TestSlowServersAreNoReasonToRunHere(t *testing.T) {
	is := is.New(t)
	tb := place.New(place.Config{})
	tb.Report(0, "a", place.Load{})
	tb.Report(0, "b", place.Load{Wait: ms})
	targets := []place.Target{{Addr: "a", Local: true, Cost: 300 * ms, Base: 60 * ms}, {Addr: "b", Local: true, Cost: 280 * ms, Base: 60 * ms}}
	choice, sooner := tb.Choose(10*ms, targets, 100*ms, func() float64 { return 0.1 })
	is.True(choice != place.Self)
	is.True(!sooner)
}

// A fleet with spare capacity must be served by latency alone: the choice by load cost a calm day 3 in
// 100 of its requests in time.
func TestBusy(t *testing.T) {
	for _, tc := range []struct {
		name string
		tell func(tb *place.Table)
		now  time.Duration
		want bool
	}{
		{"nothing known", func(*place.Table) {}, 0, false},
		{"no wait", func(tb *place.Table) { tb.Report(0, "a", place.Load{Wait: 2 * ms}) }, 0, false},
		{"one waits", func(tb *place.Table) {
			tb.Report(0, "a", place.Load{})
			tb.Report(0, "b", place.Load{Wait: 30 * ms})
		}, 0, true},
		{"long ago", func(tb *place.Table) { tb.Report(0, "b", place.Load{Wait: 30 * ms}) }, 3 * time.Second, false},
		{"one stops", func(tb *place.Table) { tb.Decline(0, "b", true) }, time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := place.New(place.Config{})
			tc.tell(tb)
			is.Equal(tb.Busy(tc.now), tc.want)
		})
	}
}
