package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/core/warmup"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

func TestBoundsMost(t *testing.T) {
	bounds := warmup.Bounds{Overage: 1.5, Slack: 5}
	for _, tc := range []struct {
		perSecond float64
		want      int
	}{{2, 8}, {4, 11}, {30, 50}, {0.5, 5}, {2.2, 8}} {
		t.Run(fmt.Sprint(tc.perSecond), func(t *testing.T) {
			is.New(t).Equal(bounds.Max(tc.perSecond), tc.want)
		})
	}
}

// eligibleLimiter returns the limiter of a VM that has been listed for long enough to act as owner.
func eligibleLimiter(now time.Duration) *warmup.Limiter {
	li := warmup.New()
	observe(li, now-2*warmup.OwnerDelay, now, 0)
	return li
}

// The bound must hold within any second at the server, although transit times vary: a request
// that is sent later may have a shorter transit time.
func TestAllowBoundsEverySecond(t *testing.T) {
	is := is.New(t)
	pr := origin.Process{ID: "a"}
	li := eligibleLimiter(10 * second)
	const most = 8
	var taken []time.Duration
	for now := 10 * second; now < 18*second; now += 3 * ms {
		li.ObserveStore(now, 0, true)
		if li.Allow(now, pr, most) {
			taken = append(taken, now)
		}
	}
	for i := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at-taken[i] <= second {
				n++
			}
		}
		is.True(n <= most)
	}
	is.True(len(taken) >= 7*most)
	is.True(li.Allow(18*second, origin.Process{ID: "b"}, most)) // servers are counted separately
}

// observe calls ObserveStore a few times a second.
func observe(li *warmup.Limiter, from, to, age time.Duration) {
	for at := from; at <= to; at += 250 * ms {
		li.ObserveStore(at, age, true)
	}
}

// A VM may act as owner only while its copy of the store is fresh and its entry has been in
// it for long enough. With an old copy it may not know that another VM has become the owner;
// if its own entry is missing or recent, the previous owner may not know it.
func TestMayActAsOwner(t *testing.T) {
	for _, tc := range []struct {
		name string
		look func(li *warmup.Limiter)
		want bool
	}{
		{"listed long enough", func(li *warmup.Limiter) { observe(li, 0, 10*second, 0) }, true},
		{"no update for a second", func(li *warmup.Limiter) {
			observe(li, 0, 9*second, 0)
			li.ObserveStore(10*second, second, true)
		}, true},
		{"just started", func(li *warmup.Limiter) { observe(li, 8*second, 10*second, 0) }, false},
		{"old copy", func(li *warmup.Limiter) {
			observe(li, 0, 9*second, 0)
			li.ObserveStore(10*second, 1900*ms, true)
		}, false},
		{"no longer listed", func(li *warmup.Limiter) {
			observe(li, 0, 9*second, 0)
			li.ObserveStore(10*second, 0, false)
		}, false},
		{"briefly not listed", func(li *warmup.Limiter) {
			observe(li, 0, 8*second, 0)
			li.ObserveStore(8*second, 0, false)
			observe(li, 8*second, 10*second, 0)
		}, false},
		{"old copy until recently", func(li *warmup.Limiter) {
			observe(li, 0, 8*second, 2*second)
			observe(li, 8*second, 10*second, 0)
		}, false},
		{"frozen until now", func(li *warmup.Limiter) {
			observe(li, 0, 6*second, 0)
			li.ObserveStore(10*second, 0, true)
		}, false},
		{"frozen after the last update", func(li *warmup.Limiter) { observe(li, 0, 8*second, 0) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			li := warmup.New()
			tc.look(li)
			is.New(t).Equal(li.Allow(10*second, origin.Process{ID: "a"}, 1), tc.want)
		})
	}
}

// An owner that denies requests is asked with increasing backoff until it sends one again.
// For each denied request the servers of all other shards have done useless work.
func TestBackoffAfterDenial(t *testing.T) {
	is := is.New(t)
	li := warmup.New()
	pr := origin.Process{ID: "a"}
	asked := 0
	for now := time.Duration(0); now < 10*second; now += 10 * ms {
		if li.MayAskOwner(now, pr) {
			asked++
			li.RecordReply(now, pr, false)
			li.RecordReply(now+ms, pr, false) // a second denial in flight at once
		}
	}
	is.True(asked >= 6 && asked <= 9)
	li.RecordReply(10*second, pr, true)
	is.True(li.MayAskOwner(10*second, pr))
	li.RecordReply(10*second, pr, false)
	is.True(li.MayAskOwner(10*second+300*ms, pr))
	li.Retain(origin.New(nil))
	is.True(li.MayAskOwner(10*second, pr))
}

// A VM whose copy of the store is old may be cut off together with other VMs, some of which
// answer its probes. It must not take this for a store outage that affects all VMs: servers
// that turned cold meanwhile would get the same load from this group as before.
func TestStale(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		// asked VMs were probed, and answered of them answered.
		asked, answered int
		want            bool
	}{
		{"updates", second, 0, 0, false},
		{"no updates, no probes", 2 * second, 0, 0, true},
		{"no updates, all probes answered", 2 * second, 4, 4, false},
		{"no updates, one probed VM failed", 2 * second, 4, 3, false},
		{"no updates, half of the probes answered", 2 * second, 4, 2, true},
		{"no updates, no probe answered", 2 * second, 4, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			li := warmup.New()
			li.ObserveStore(10*second, tc.age, true)
			for i := range tc.asked {
				li.RecordProbe(10*second, i < tc.answered)
			}
			is.Equal(li.Stale(10*second), tc.want)
			is.True(li.Stale(13 * second)) // the answers have expired
		})
	}
}
