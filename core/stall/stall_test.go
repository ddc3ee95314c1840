package stall_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/stall"
)

const ms = time.Millisecond

// feedAnswers records n answers that took that long each, and returns the time after them.
func feedAnswers(tr *stall.Tracker[int], now time.Duration, n int, took time.Duration) time.Duration {
	for i := range n {
		tr.Begin(now, 1000+i, now+time.Minute)
		now += took
		tr.Answer(now, 1000+i)
	}
	return now
}

func TestSilentAndShouldPing(t *testing.T) {
	cases := []struct {
		name string
		// known is the number of answers of 5 ms recorded before.
		known int
		// after is the time since the request.
		after time.Duration
		// answered is the number of later exchanges that were answered.
		answered int
		budget   time.Duration
		silent   bool
		doubt    bool
	}{
		{name: "recent, overtaken", known: 50, after: 400 * ms, answered: 9, budget: 30 * time.Second},
		{name: "old, overtaken", known: 50, after: 600 * ms, answered: 3, budget: 30 * time.Second, silent: true},
		{name: "old, overtaken too few times", known: 50, after: 600 * ms, answered: 2, budget: 30 * time.Second, doubt: true},
		{name: "server answers on no connection", known: 50, after: 5 * time.Second, budget: 30 * time.Second, doubt: true},
		{name: "latency unknown, long deadline", after: 2 * time.Second, answered: 3, budget: 30 * time.Second},
		{name: "latency unknown, past a quarter of the deadline", after: 8 * time.Second, answered: 3, budget: 30 * time.Second, silent: true},
		{name: "just past the deadline", known: 50, after: 300 * ms, budget: 200 * ms},
		{name: "long past the deadline", known: 50, after: 1300 * ms, budget: 200 * ms, silent: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tr := stall.New[int](stall.Config{})
			began := feedAnswers(tr, 0, tc.known, 5*ms)
			tr.Begin(began, 1, began+tc.budget)
			now := began + tc.after
			for range tc.answered {
				tr.Begin(now-ms, 2, now+time.Second)
				tr.Answer(now, 2)
			}
			is.Equal(len(tr.Silent(now, nil)) == 1, tc.silent)
			is.Equal(tr.ShouldPing(now), tc.doubt)
			tr.Drop(1)
			is.Equal(tr.Len(), 0)
		})
	}
}

// A server slows down on all connections. No exchange is overtaken by one that began later,
// so no connection is reported silent before its deadline, however slow the server gets.
func TestSlowServerIsNotSilent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := stall.New[int](stall.Config{})
		now := feedAnswers(tr, 0, 50, 5*ms)
		n := rapid.IntRange(1, 30).Draw(rt, "connections")
		for i := range n {
			tr.Begin(now, i, now+time.Minute)
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "gap")) * ms
		}
		for i := range n {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "took")) * ms
			if got := tr.Silent(now, nil); len(got) > 0 {
				rt.Fatalf("reported silent: %v", got)
			}
			tr.Answer(now, i)
		}
	})
}

// One connection of many becomes silent while the others keep answering in at most 20 ms. It
// is detected within two seconds, and no other connection is reported.
func TestOneSilentConnectionIsDetected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := stall.New[int](stall.Config{})
		now := feedAnswers(tr, 0, 50, 5*ms)
		began := now
		tr.Begin(now, -1, now+time.Minute)
		detected := false
		for i := 0; !detected && now < began+2*time.Second; i++ {
			tr.Begin(now, i, now+time.Minute)
			now += time.Duration(rapid.IntRange(1, 20).Draw(rt, "took")) * ms
			for _, key := range tr.Silent(now, nil) {
				if key != -1 {
					rt.Fatalf("connection %d reported silent but it answers", key)
				}
				detected = true
			}
			tr.Answer(now, i)
		}
		if !detected {
			rt.Fatal("silent connection not detected within two seconds")
		}
	})
}
