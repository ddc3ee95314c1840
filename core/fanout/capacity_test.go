package fanout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/fanout"
)

// capacityConfig returns a configuration with the capacity of each shard, which tests may change.
func capacityConfig(minParts int, capacities []fanout.Capacity) fanout.Config {
	cfg := config(len(capacities), minParts)
	cfg.HedgeAfter = 0
	cfg.Capacity = func(_ time.Duration, shard int) fanout.Capacity { return capacities[shard] }
	return cfg
}

// Requests counted as short of capacity although fewer requests would not have helped: a shard
// without servers that respond, or one that was not needed, made the valve refuse a quarter of
// the requests while all other servers were nearly idle.
func TestCapacityLacked(t *testing.T) {
	const none, full, free = fanout.CapacityNone, fanout.CapacityFull, fanout.CapacityFree
	cases := []struct {
		name       string
		minParts   int
		capacities []fanout.Capacity
		lacked     bool
	}{
		{"all free", 4, []fanout.Capacity{free, free, free, free}, false},
		{"one full, needed", 4, []fanout.Capacity{full, free, free, free}, true},
		{"one full, not needed", 3, []fanout.Capacity{full, free, free, free}, false},
		{"one lost, not needed", 3, []fanout.Capacity{none, free, free, free}, false},
		{"one lost, needed", 4, []fanout.Capacity{none, free, free, free}, false},
		{"one lost, another one full", 3, []fanout.Capacity{none, full, free, free}, true},
		{"two lost, another one full", 3, []fanout.Capacity{none, none, full, free}, false},
		{"two full, one needed", 3, []fanout.Capacity{full, full, free, free}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			mc := fanout.New(capacityConfig(tc.minParts, tc.capacities))
			mc.Start(0)
			// The last shard has answered; it counts as such whatever its servers can take now.
			mc.Step(5*ms, fanout.Event{Kind: fanout.EvResult, Attempt: 3, Verdict: fanout.Served})
			tc.capacities[3] = none
			mc.CapacityLacked(50 * ms)
			acts := mc.Step(60*ms, fanout.Event{Kind: fanout.EvClientGone})
			an := acts[len(acts)-1].Answer
			is.Equal(an.Lacked, tc.lacked)
			is.Equal(an.LackedAt == 50*ms, tc.lacked)
		})
	}
}

// limitedBudget has no tokens until a time.
type limitedBudget struct {
	now   *time.Duration
	after time.Duration
	needs []fanout.Need
}

func (lb *limitedBudget) Spend(_ int, need fanout.Need) bool {
	lb.needs = append(lb.needs, need)
	return *lb.now >= lb.after
}

// A gather ended with one shard too few after all its work, since the last one had no token at that
// moment. A needed retry waits for a token; when none comes, the answer says what was lacking.
func TestNeededRetryAwaitsToken(t *testing.T) {
	const none, free = fanout.CapacityNone, fanout.CapacityFree
	cases := []struct {
		name       string
		capacities []fanout.Capacity
		once       bool
		tokensFrom time.Duration
		need       fanout.Need
		retriedAt  time.Duration
		outcome    fanout.Outcome
		reason     string
	}{
		{"needed", []fanout.Capacity{none, free, free}, false, 40 * ms, fanout.NeedAnswer, 55 * ms, fanout.OutcomeServed, fanout.ReasonTarget},
		{"needed, and there is no token", []fanout.Capacity{none, free, free}, false, time.Hour, fanout.NeedAnswer, 0, fanout.OutcomeFailed, fanout.ReasonBudget},
		{"not needed", []fanout.Capacity{free, free, free}, false, 40 * ms, fanout.NeedNone, 0, fanout.OutcomeFailed, fanout.ReasonDeadline},
		{"may run only once", []fanout.Capacity{none, free, free}, true, time.Hour, fanout.NeedAnswer, 0, fanout.OutcomeFailed, fanout.ReasonDeadline},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Duration(0)
			lb := &limitedBudget{now: &now, after: tc.tokensFrom}
			cfg := capacityConfig(2, tc.capacities)
			cfg.Idempotent, cfg.Budget = !tc.once, lb
			mc := fanout.New(cfg)
			mc.Start(now)
			var retriedAt time.Duration
			var an fanout.Answer
			collect := func(acts []fanout.Action) {
				for _, ac := range acts {
					switch ac.Kind {
					case fanout.ActSend:
						retriedAt = now
					case fanout.ActAnswer:
						an = ac.Answer
					case fanout.ActDrop:
					}
				}
			}
			now = 5 * ms
			collect(mc.Step(now, fanout.Event{Kind: fanout.EvResult, Attempt: 1, Verdict: fanout.Served}))
			collect(mc.Step(now, fanout.Event{Kind: fanout.EvResult, Attempt: 2, Verdict: fanout.Refused}))
			for an.Outcome == 0 && retriedAt == 0 {
				now = max(now+1, mc.Wake())
				collect(mc.Step(now, fanout.Event{Kind: fanout.EvWake}))
			}
			if retriedAt > 0 {
				collect(mc.Step(now, fanout.Event{Kind: fanout.EvResult, Attempt: 3, Verdict: fanout.Served}))
				now = cfg.Target
				collect(mc.Step(now, fanout.Event{Kind: fanout.EvWake}))
			}
			is.Equal(lb.needs[0], tc.need)
			is.Equal(retriedAt, tc.retriedAt)
			is.Equal(an.Outcome, tc.outcome)
			is.Equal(an.Reason, tc.reason)
		})
	}
}

// Hedges took the last tokens of a shard, and a retry without which the request fails had none. But
// a budget of a single token must not be kept for ever.
func TestReserves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		burst := rapid.Float64Range(1, 100).Draw(rt, "burst")
		none, target := fanout.NeedNone.Reserve(burst, 0), fanout.NeedTarget.Reserve(burst, 0)
		if fanout.NeedAnswer.Reserve(burst, 0) != 0 || target < 0 || target > none || none > burst-1 {
			rt.Fatalf("reserves %v and %v of a burst of %v", none, target, burst)
		}
		if burst >= 3 && (target < 1 || none < target+1) {
			rt.Fatalf("reserves %v and %v of a burst of %v", none, target, burst)
		}
	})
}

// Tokens that were kept although no retry was needed made requests late on calm days.
func TestReservesEnd(t *testing.T) {
	is := is.New(t)
	const burst = 12
	for _, need := range []fanout.Need{fanout.NeedNone, fanout.NeedTarget} {
		is.True(need.Reserve(burst, 9900*ms) > 0)
		is.Equal(need.Reserve(burst, 10000*ms), 0.0)
	}
}
