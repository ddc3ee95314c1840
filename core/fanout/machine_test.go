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

// servers picks the first server of a shard that was not tried.
type servers map[int][]string

func (ss servers) Pick(_ time.Duration, ask fanout.Ask) (*origin.Upstream, bool) {
	for _, id := range ss[ask.Shard] {
		free := true
		for _, up := range ask.Tried {
			free = free && up.ID != id
		}
		if free {
			return &origin.Upstream{ID: id}, true
		}
	}
	return nil, false
}

// tokens is a budget of so many.
type tokens struct {
	left   int
	needed []bool
}

func (to *tokens) Spend(_ int, needed bool) bool {
	to.needed = append(to.needed, needed)
	to.left--
	return to.left >= 0
}

func each(shards int, ids ...string) servers {
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
		Target: 150 * ms, Hard: 1000 * ms, HedgeAfter: 50 * ms, LeastTime: 3 * ms,
		Chooser: each(shards, "a", "b", "c"), Budget: &tokens{left: 100},
	}
}

// script plays events and writes down what the machine does.
type script struct {
	mc  *fanout.Machine
	out strings.Builder
}

func play(cfg fanout.Config) *script {
	sc := &script{mc: fanout.New(cfg)}
	sc.note("start", sc.mc.Start(0))
	return sc
}

func (sc *script) note(what string, acts []fanout.Action) {
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
				an.Outcome, an.Reason, an.Winners, an.Missing, an.Shown, an.Full)
		}
	}
}

func (sc *script) result(at time.Duration, attempt int, ve fanout.Verdict) *script {
	sc.note(fmt.Sprintf("%v: %d %s", at, attempt, ve),
		sc.mc.Step(at, fanout.Event{Kind: fanout.EvResult, Attempt: attempt, Verdict: ve}))
	return sc
}

func (sc *script) wake(at time.Duration) *script {
	sc.note(fmt.Sprintf("%v: wake", at), sc.mc.Step(at, fanout.Event{Kind: fanout.EvWake}))
	return sc
}

func (sc *script) gone(at time.Duration) *script {
	sc.note(fmt.Sprintf("%v: client gone", at), sc.mc.Step(at, fanout.Event{Kind: fanout.EvGone}))
	return sc
}

// Whole requests, from the first attempt to the answer.
func TestSessions(t *testing.T) {
	once := func(cfg fanout.Config) fanout.Config {
		cfg.Idempotent = false
		return cfg
	}
	with := func(cfg fanout.Config, ss servers) fanout.Config {
		cfg.Chooser = ss
		return cfg
	}
	poor := func(cfg fanout.Config) fanout.Config {
		cfg.Budget = &tokens{}
		return cfg
	}
	cases := []struct {
		name string
		play func() *script
	}{
		{"served", func() *script { return play(config(1, 1)).result(10*ms, 0, fanout.Served) }},
		{"hedged", func() *script {
			return play(config(1, 1)).wake(50*ms).result(70*ms, 1, fanout.Served).result(200*ms, 0, fanout.Served)
		}},
		{"retriedAfterRefusal", func() *script {
			return play(config(1, 1)).result(1*ms, 0, fanout.Refused).result(20*ms, 1, fanout.Served)
		}},
		{"refusedByAll", func() *script {
			return play(config(1, 1)).result(1*ms, 0, fanout.Refused).result(2*ms, 1, fanout.Refused).result(3*ms, 2, fanout.Refused)
		}},
		{"failureShown", func() *script {
			return play(config(1, 1)).result(1*ms, 0, fanout.Failed).result(2*ms, 1, fanout.Failed)
		}},
		{"onceLost", func() *script { return play(once(config(1, 1))).wake(60*ms).result(70*ms, 0, fanout.Lost) }},
		{"onceRefused", func() *script {
			return play(once(config(1, 1))).result(1*ms, 0, fanout.Refused).result(9*ms, 1, fanout.Served)
		}},
		{"onceUnsent", func() *script {
			return play(once(config(1, 1))).result(1*ms, 0, fanout.Unsent).result(2*ms, 1, fanout.Elsewhere).result(9*ms, 2, fanout.Served)
		}},
		{"noToken", func() *script { return play(poor(config(1, 1))).wake(50*ms).result(60*ms, 0, fanout.Failed) }},
		{"strangersCostNoToken", func() *script {
			return play(poor(config(1, 1))).result(1*ms, 0, fanout.Elsewhere).result(2*ms, 1, fanout.Unsent).result(9*ms, 2, fanout.Served)
		}},
		{"noServer", func() *script { return play(with(config(1, 1), nil)) }},
		{"gathered", func() *script {
			return play(config(3, 2)).result(5*ms, 2, fanout.Served).result(6*ms, 0, fanout.Served).result(7*ms, 1, fanout.Served)
		}},
		{"partAtTarget", func() *script {
			cfg := config(3, 2)
			cfg.HedgeAfter = 0
			return play(cfg).result(5*ms, 2, fanout.Served).result(6*ms, 0, fanout.Served).wake(150*ms).result(160*ms, 1, fanout.Served)
		}},
		{"tooFewAtTarget", func() *script {
			cfg := config(3, 3)
			cfg.HedgeAfter = 0
			return play(cfg).result(5*ms, 2, fanout.Served).result(6*ms, 0, fanout.Served).wake(150*ms).result(400*ms, 1, fanout.Served)
		}},
		{"partWithoutDeadShard", func() *script {
			return play(with(config(3, 2), servers{0: {"a0"}, 2: {"a2"}})).result(5*ms, 0, fanout.Served).result(6*ms, 1, fanout.Served)
		}},
		{"hopeless", func() *script { return play(with(config(3, 2), servers{0: {"a0"}})) }},
		{"hopelessLater", func() *script {
			return play(poor(config(3, 3))).result(5*ms, 0, fanout.Refused).result(6*ms, 1, fanout.Served)
		}},
		{"deadline", func() *script { return play(config(1, 1)).wake(50 * ms).wake(1000 * ms) }},
		{"gone", func() *script { return play(config(2, 1)).result(5*ms, 0, fanout.Served).gone(20 * ms) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			golden.Check(t, tc.name, tc.play().out.String())
		})
	}
}

// The two servers that a shard has left refuse at random. A caller must not be told
// that there is no server while one of them may have room: who refused is asked again,
// once all others were, and no more often than the route allows; one that failed ran
// the request and is not.
func TestRefusedIsAskedAgain(t *testing.T) {
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

// A shard is lost while there may still be one missing, and then a second one.
// Tokens are few: the first loss must not take what the second one needs. The
// first one's only server fails: one that refuses is asked again.
func TestNeededTokens(t *testing.T) {
	is := is.New(t)
	to := &tokens{left: 100}
	cfg := config(3, 2)
	cfg.Budget = to
	cfg.HedgeAfter = 0
	cfg.Chooser = servers{0: {"a0"}, 1: {"a1", "b1"}, 2: {"a2", "b2"}}
	play(cfg).result(1*ms, 1, fanout.Refused).result(2*ms, 0, fanout.Failed).result(3*ms, 2, fanout.Refused)
	is.Equal(to.needed, []bool{false, true})
}

// Whatever servers answer, in whatever order: there is one answer, a request that
// may run once is sent again only after a proof that it did not run, "not run" is
// said only if nothing can have run, and no shard runs on more servers than it
// may.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 6).Draw(rt, "shards")
		cfg := config(shards, rapid.IntRange(1, shards).Draw(rt, "minParts"))
		cfg.Idempotent = rapid.Bool().Draw(rt, "idempotent")
		cfg.MaxAttempts = rapid.IntRange(1, 3).Draw(rt, "attempts")
		cfg.Budget = &tokens{left: rapid.IntRange(0, 10).Draw(rt, "tokens")}
		ju := &judge{is: is.New(t), cfg: cfg, verdicts: map[int]fanout.Verdict{}, shardOf: map[int]int{}, ran: map[int]int{}}
		mc := fanout.New(cfg)
		now := time.Duration(0)
		ju.take(mc.Start(now))
		for range rapid.IntRange(0, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(rt, "wait")) * ms
			ev := fanout.Event{Kind: fanout.EvWake}
			if len(ju.open) > 0 && rapid.Bool().Draw(rt, "result") {
				k := rapid.SampledFrom(ju.open).Draw(rt, "attempt")
				ev = fanout.Event{Kind: fanout.EvResult, Attempt: k,
					Verdict: fanout.Verdict(rapid.IntRange(int(fanout.Served), int(fanout.Unsent)).Draw(rt, "verdict"))}
				ju.close(k, ev.Verdict)
			}
			ju.take(mc.Step(now, ev))
		}
		ju.take(mc.Step(cfg.Hard, fanout.Event{Kind: fanout.EvWake}))
		ju.is.Equal(ju.answers, 1)
	})
}

// judge holds a machine to its promises.
type judge struct {
	is       *is.I
	cfg      fanout.Config
	open     []int
	verdicts map[int]fanout.Verdict
	shardOf  map[int]int
	ran      map[int]int
	answers  int
}

func (ju *judge) close(k int, ve fanout.Verdict) {
	for i, other := range ju.open {
		if other == k {
			ju.open = append(ju.open[:i], ju.open[i+1:]...)
			break
		}
	}
	ju.verdicts[k] = ve
	if ve.MayHaveRun() {
		ju.ran[ju.shardOf[k]]++
	}
}

func (ju *judge) take(acts []fanout.Action) {
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			ju.sent(ac)
		case fanout.ActAnswer:
			ju.answers++
			ju.answered(ac.Answer)
		}
	}
}

func (ju *judge) sent(ac fanout.Action) {
	ju.is.Equal(ju.answers, 0) // sent after the answer
	if !ju.cfg.Idempotent {
		for k, shard := range ju.shardOf {
			if shard != ac.Shard {
				continue
			}
			ve, ended := ju.verdicts[k]
			ju.is.True(ended && !ve.MayHaveRun())
		}
	}
	ju.shardOf[ac.Attempt] = ac.Shard
	ju.open = append(ju.open, ac.Attempt)
	atWork := ju.ran[ac.Shard]
	for _, k := range ju.open {
		if ju.shardOf[k] == ac.Shard {
			atWork++
		}
	}
	ju.is.True(atWork <= ju.cfg.MaxAttempts)
}

func (ju *judge) answered(an fanout.Answer) {
	switch an.Outcome {
	case fanout.OutcomeNotRun:
		ju.is.Equal(len(ju.open), 0)
		for _, ve := range ju.verdicts {
			ju.is.True(!ve.MayHaveRun())
		}
	case fanout.OutcomeServed:
		ju.is.True(len(an.Winners) >= ju.cfg.MinParts)
		ju.is.Equal(an.Missing, ju.cfg.Shards-len(an.Winners))
		seen := map[int]bool{}
		for _, k := range an.Winners {
			ju.is.Equal(ju.verdicts[k], fanout.Served)
			ju.is.True(!seen[ju.shardOf[k]])
			seen[ju.shardOf[k]] = true
		}
	}
}
