package fanout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/internal/golden"
)

const ms = time.Millisecond

// servers is a Chooser that picks the first server of a shard that was not tried.
type servers map[int][]string

func (ss servers) Pick(_ time.Duration, rq fanout.PickRequest) (*origin.Upstream, bool) {
	for _, id := range ss[rq.Shard] {
		untried := true
		for _, up := range rq.Tried {
			untried = untried && up.ID != id
		}
		if untried {
			return &origin.Upstream{ID: id}, true
		}
	}
	return nil, false
}

// fixedBudget is a Budget with a fixed number of tokens; it records the needs.
type fixedBudget struct {
	left  int
	needs []fanout.Need
}

func (to *fixedBudget) Spend(_ int, need fanout.Need) bool {
	to.needs = append(to.needs, need)
	to.left--
	return to.left >= 0
}

func serversPerShard(shards int, ids ...string) servers {
	ss := servers{}
	for i := range shards {
		for _, id := range ids {
			ss[i] = append(ss[i], fmt.Sprintf("%s%d", id, i))
		}
	}
	return ss
}

func config(shards, minParts int) fanout.Config {
	return fanout.Config{
		Shards: shards, MinParts: minParts, Idempotent: true, MaxAttempts: 2,
		Target: 150 * ms, HardDeadline: 1000 * ms, HedgeAfter: 50 * ms, MinTimeLeft: 3 * ms,
		Chooser: serversPerShard(shards, "a", "b", "c"), Budget: &fixedBudget{left: 100},
	}
}

// eventScript feeds events to a machine and records its actions as text.
type eventScript struct {
	mc  *fanout.Machine
	out strings.Builder
}

func start(cfg fanout.Config) *eventScript {
	sc := &eventScript{mc: fanout.New(cfg)}
	sc.note("start", sc.mc.Start(0))
	return sc
}

func (sc *eventScript) note(what string, acts []fanout.Action) {
	fmt.Fprintf(&sc.out, "%s\n", what)
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			fmt.Fprintf(&sc.out, "  send %d to %s, %s\n", ac.Attempt, ac.Upstream.ID, ac.Cause)
		case fanout.ActDrop:
			fmt.Fprintf(&sc.out, "  drop %d\n", ac.Attempt)
		case fanout.ActAnswer:
			an := ac.Answer
			fmt.Fprintf(&sc.out, "  answer %s %q, winners %v, missing %d, shown %d, full %v\n",
				an.Outcome, an.Reason, an.Winners, an.Missing, an.ShownFailure, an.NoCapacity)
		}
	}
}

func (sc *eventScript) result(at time.Duration, attempt int, ve fanout.Verdict) *eventScript {
	sc.note(fmt.Sprintf("%v: %d %s", at, attempt, ve),
		sc.mc.Step(at, fanout.Event{Kind: fanout.EvResult, Attempt: attempt, Verdict: ve}))
	return sc
}

func (sc *eventScript) wake(at time.Duration) *eventScript {
	sc.note(fmt.Sprintf("%v: wake", at), sc.mc.Step(at, fanout.Event{Kind: fanout.EvWake}))
	return sc
}

func (sc *eventScript) gone(at time.Duration) *eventScript {
	sc.note(fmt.Sprintf("%v: client gone", at), sc.mc.Step(at, fanout.Event{Kind: fanout.EvClientGone}))
	return sc
}

// Complete requests, from the first attempt to the answer, compared with golden files.
func TestRequests(t *testing.T) {
	nonIdempotent := func(cfg fanout.Config) fanout.Config {
		cfg.Idempotent = false
		return cfg
	}
	withServers := func(cfg fanout.Config, ss servers) fanout.Config {
		cfg.Chooser = ss
		return cfg
	}
	withoutTokens := func(cfg fanout.Config) fanout.Config {
		cfg.Budget = &fixedBudget{}
		return cfg
	}
	cases := []struct {
		name string
		run  func() *eventScript
	}{
		{"served", func() *eventScript { return start(config(1, 1)).result(10*ms, 0, fanout.Served) }},
		{"hedged", func() *eventScript {
			return start(config(1, 1)).wake(50*ms).result(70*ms, 1, fanout.Served).result(200*ms, 0, fanout.Served)
		}},
		{"retriedAfterRefusal", func() *eventScript {
			return start(config(1, 1)).result(1*ms, 0, fanout.Refused).result(20*ms, 1, fanout.Served)
		}},
		{"refusedByAll", func() *eventScript {
			return start(config(1, 1)).result(1*ms, 0, fanout.Refused).result(2*ms, 1, fanout.Refused).result(3*ms, 2, fanout.Refused)
		}},
		{"failureShown", func() *eventScript {
			return start(config(1, 1)).result(1*ms, 0, fanout.Failed).result(2*ms, 1, fanout.Failed)
		}},
		{"onceLost", func() *eventScript {
			return start(nonIdempotent(config(1, 1))).wake(60*ms).result(70*ms, 0, fanout.Lost)
		}},
		{"onceRefused", func() *eventScript {
			return start(nonIdempotent(config(1, 1))).result(1*ms, 0, fanout.Refused).result(9*ms, 1, fanout.Served)
		}},
		{"onceUnsent", func() *eventScript {
			return start(nonIdempotent(config(1, 1))).result(1*ms, 0, fanout.Unsent).result(2*ms, 1, fanout.Elsewhere).result(9*ms, 2, fanout.Served)
		}},
		{"noToken", func() *eventScript {
			return start(withoutTokens(config(1, 1))).wake(50*ms).result(60*ms, 0, fanout.Failed)
		}},
		{"unreachedCostNoToken", func() *eventScript {
			return start(withoutTokens(config(1, 1))).result(1*ms, 0, fanout.Elsewhere).result(2*ms, 1, fanout.Unsent).result(9*ms, 2, fanout.Served)
		}},
		{"noServer", func() *eventScript { return start(withServers(config(1, 1), nil)) }},
		{"gathered", func() *eventScript {
			return start(config(3, 2)).result(5*ms, 2, fanout.Served).result(6*ms, 0, fanout.Served).result(7*ms, 1, fanout.Served)
		}},
		{"partAtTarget", func() *eventScript {
			cfg := config(3, 2)
			cfg.HedgeAfter = 0
			return start(cfg).result(5*ms, 2, fanout.Served).result(6*ms, 0, fanout.Served).wake(150*ms).result(160*ms, 1, fanout.Served)
		}},
		{"tooFewAtTarget", func() *eventScript {
			cfg := config(3, 3)
			cfg.HedgeAfter = 0
			return start(cfg).result(5*ms, 2, fanout.Served).result(6*ms, 0, fanout.Served).wake(150*ms).result(400*ms, 1, fanout.Served)
		}},
		{"partWithoutDeadShard", func() *eventScript {
			return start(withServers(config(3, 2), servers{0: {"a0"}, 2: {"a2"}})).result(5*ms, 0, fanout.Served).result(6*ms, 1, fanout.Served)
		}},
		{"tooFewServers", func() *eventScript { return start(withServers(config(3, 2), servers{0: {"a0"}})) }},
		{"tooFewLater", func() *eventScript {
			return start(withoutTokens(config(3, 3))).result(5*ms, 0, fanout.Refused).result(6*ms, 1, fanout.Served)
		}},
		{"deadline", func() *eventScript { return start(config(1, 1)).wake(50 * ms).wake(1000 * ms) }},
		{"clientGone", func() *eventScript { return start(config(2, 1)).result(5*ms, 0, fanout.Served).gone(20 * ms) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			golden.Check(t, tc.name, tc.run().out.String())
		})
	}
}

// The two servers that a shard has left refuse at random. The caller must not get "no server"
// while one of them may have capacity: a server that refused is asked again once all others were
// asked, within the route's limit. A server that failed ran the request and is not asked again.
func TestRefusingServerIsAskedAgain(t *testing.T) {
	cases := []struct {
		name     string
		verdicts []fanout.Verdict
		asked    []string
		outcome  fanout.Outcome
	}{
		{"refused by both", []fanout.Verdict{fanout.Refused, fanout.Refused, fanout.Served}, []string{"a0", "b0", "a0"}, fanout.OutcomeServed},
		{"refused three times", []fanout.Verdict{fanout.Refused, fanout.Refused, fanout.Refused}, []string{"a0", "b0", "a0"}, fanout.OutcomeNotRun},
		{"refused, then failed", []fanout.Verdict{fanout.Refused, fanout.Failed, fanout.Served}, []string{"a0", "b0", "a0"}, fanout.OutcomeServed},
		{"failed, then refused", []fanout.Verdict{fanout.Failed, fanout.Refused, fanout.Served}, []string{"a0", "b0", "b0"}, fanout.OutcomeServed},
		{"failed by both", []fanout.Verdict{fanout.Failed, fanout.Failed}, []string{"a0", "b0"}, fanout.OutcomeFailed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			cfg := config(1, 1)
			cfg.Chooser = servers{0: {"a0", "b0"}}
			mc := fanout.New(cfg)
			acts := mc.Start(0)
			var asked []string
			var outcome fanout.Outcome
			for k := 0; ; k++ {
				for _, ac := range acts {
					switch ac.Kind {
					case fanout.ActSend:
						asked = append(asked, ac.Upstream.ID)
					case fanout.ActAnswer:
						outcome = ac.Answer.Outcome
					}
				}
				if outcome != 0 {
					break
				}
				is.True(k < len(tc.verdicts))
				acts = mc.Step(time.Duration(k)*ms, fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: tc.verdicts[k]})
			}
			is.Equal(asked, tc.asked)
			is.Equal(outcome, tc.outcome)
		})
	}
}

// One shard is lost while one may be missing, then a second one. Tokens are few: the first loss
// must not take the token that the second one needs. The first shard's only server fails rather
// than refuses, since a refusing one would be asked again.
func TestBudgetNeeds(t *testing.T) {
	is := is.New(t)
	to := &fixedBudget{left: 100}
	cfg := config(3, 2)
	cfg.Budget = to
	cfg.HedgeAfter = 0
	cfg.Chooser = servers{0: {"a0"}, 1: {"a1", "b1"}, 2: {"a2", "b2"}}
	start(cfg).result(1*ms, 1, fanout.Refused).result(2*ms, 0, fanout.Failed).result(3*ms, 2, fanout.Refused)
	is.Equal(to.needs, []fanout.Need{fanout.NeedNone, fanout.NeedAnswer})
}

// For any results in any order: there is exactly one answer; a request that may run only once is
// sent again only after proof that it did not run; OutcomeNotRun is given only if no attempt can
// have run; and no shard runs on more than MaxAttempts servers.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 6).Draw(rt, "shards")
		cfg := config(shards, rapid.IntRange(1, shards).Draw(rt, "minParts"))
		cfg.Idempotent = rapid.Bool().Draw(rt, "idempotent")
		cfg.MaxAttempts = rapid.IntRange(1, 3).Draw(rt, "attempts")
		cfg.Budget = &fixedBudget{left: rapid.IntRange(0, 10).Draw(rt, "tokens")}
		iv := &invariants{is: is.New(t), cfg: cfg, verdicts: map[int]fanout.Verdict{}, shardOf: map[int]int{}, ran: map[int]int{}}
		mc := fanout.New(cfg)
		now := time.Duration(0)
		iv.check(mc.Start(now))
		for range rapid.IntRange(0, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(rt, "wait")) * ms
			ev := fanout.Event{Kind: fanout.EvWake}
			if len(iv.open) > 0 && rapid.Bool().Draw(rt, "result") {
				k := rapid.SampledFrom(iv.open).Draw(rt, "attempt")
				ev = fanout.Event{Kind: fanout.EvResult, Attempt: k,
					Verdict: fanout.Verdict(rapid.IntRange(int(fanout.Served), int(fanout.Unsent)).Draw(rt, "verdict"))}
				iv.close(k, ev.Verdict)
			}
			iv.check(mc.Step(now, ev))
		}
		iv.check(mc.Step(cfg.HardDeadline, fanout.Event{Kind: fanout.EvWake}))
		iv.is.Equal(iv.answers, 1)
	})
}

// invariants checks a machine's actions against its guarantees.
type invariants struct {
	is       *is.I
	cfg      fanout.Config
	open     []int
	verdicts map[int]fanout.Verdict
	shardOf  map[int]int
	ran      map[int]int
	answers  int
}

func (iv *invariants) close(k int, ve fanout.Verdict) {
	for i, other := range iv.open {
		if other == k {
			iv.open = append(iv.open[:i], iv.open[i+1:]...)
			break
		}
	}
	iv.verdicts[k] = ve
	if ve.MayHaveRun() {
		iv.ran[iv.shardOf[k]]++
	}
}

func (iv *invariants) check(acts []fanout.Action) {
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			iv.sent(ac)
		case fanout.ActAnswer:
			iv.answers++
			iv.answered(ac.Answer)
		}
	}
}

func (iv *invariants) sent(ac fanout.Action) {
	iv.is.Equal(iv.answers, 0) // sent after the answer
	if !iv.cfg.Idempotent {
		for k, shard := range iv.shardOf {
			if shard != ac.Shard {
				continue
			}
			ve, ended := iv.verdicts[k]
			iv.is.True(ended && !ve.MayHaveRun())
		}
	}
	iv.shardOf[ac.Attempt] = ac.Shard
	iv.open = append(iv.open, ac.Attempt)
	running := iv.ran[ac.Shard]
	for _, k := range iv.open {
		if iv.shardOf[k] == ac.Shard {
			running++
		}
	}
	iv.is.True(running <= iv.cfg.MaxAttempts)
}

func (iv *invariants) answered(an fanout.Answer) {
	switch an.Outcome {
	case fanout.OutcomeNotRun:
		iv.is.Equal(len(iv.open), 0)
		for _, ve := range iv.verdicts {
			iv.is.True(!ve.MayHaveRun())
		}
	case fanout.OutcomeServed:
		iv.is.True(len(an.Winners) >= iv.cfg.MinParts)
		iv.is.Equal(an.Missing, iv.cfg.Shards-len(an.Winners))
		seen := map[int]bool{}
		for _, k := range an.Winners {
			iv.is.Equal(iv.verdicts[k], fanout.Served)
			iv.is.True(!seen[iv.shardOf[k]])
			seen[iv.shardOf[k]] = true
		}
	}
}
