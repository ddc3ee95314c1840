package fanout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
)

func sends(acts []fanout.Action) int {
	n := 0
	for _, ac := range acts {
		if ac.Kind == fanout.ActSend {
			n++
		}
	}
	return n
}

// Three parts come joined, after the target and with one shard still out. The
// records of all three stand together, so that an answer of only those that were
// taken in first would hold records of a part that it does not name.
func TestJoinedPartsAreTakenTogether(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(4, 1))
	mc.Start(0)
	acts := mc.StepAll(200*ms, []fanout.Event{
		{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Served},
		{Kind: fanout.EvResult, Attempt: 1, Verdict: fanout.Served},
		{Kind: fanout.EvResult, Attempt: 2, Verdict: fanout.Served},
	})
	last := acts[len(acts)-1]
	is.Equal(last.Kind, fanout.ActAnswer)
	is.Equal(last.Answer.Winners, []int{0, 1, 2})
	is.Equal(last.Answer.Missing, 1)
}

// While an attempt's answer may come joined with others, no second server is
// asked: its answer could not be told apart from the joined one. Once it is known
// that the result comes by itself, one is asked as soon as it is late.
func TestHeldAttemptsAreNotHedged(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(2, 2))
	mc.Start(0)
	mc.Hold(0, 80*ms)
	mc.Hold(1, 80*ms)
	is.Equal(sends(mc.Step(60*ms, fanout.Event{Kind: fanout.EvWake})), 0)
	mc.Release(0)
	is.Equal(mc.Wake(), 50*ms)
	is.Equal(sends(mc.Step(61*ms, fanout.Event{Kind: fanout.EvWake})), 1)
	is.Equal(sends(mc.Step(81*ms, fanout.Event{Kind: fanout.EvWake})), 1)
}

// The VM that joins stands still. Second servers are asked meanwhile, one of them
// answers, and then the joined answer comes: it holds records of that shard too,
// which cannot be told apart, so that nothing of it may be taken.
func TestJoinedAnswerAfterAnotherOne(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(2, 2))
	mc.Start(0)
	mc.Hold(0, 60*ms)
	mc.Hold(1, 60*ms)
	is.Equal(sends(mc.Step(60*ms, fanout.Event{Kind: fanout.EvWake})), 2)
	mc.Step(70*ms, fanout.Event{Kind: fanout.EvResult, Attempt: 2, Verdict: fanout.Served})
	acts := mc.StepAll(75*ms, []fanout.Event{
		{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Served},
		{Kind: fanout.EvResult, Attempt: 1, Verdict: fanout.Served},
	})
	is.Equal(len(acts), 0)
	acts = mc.Step(80*ms, fanout.Event{Kind: fanout.EvResult, Attempt: 3, Verdict: fanout.Served})
	is.Equal(acts[len(acts)-1].Answer.Winners, []int{2, 3})
}

// The VM beside a shard's servers does not send to the first of them, since it is slow.
// Another one is asked, at no cost of a token; but where the shard has no other, the slow
// one has to serve, or the answer would lack a part for a mere advice.
func TestDoubtedServerIsTheLastChoice(t *testing.T) {
	cases := []struct {
		name    string
		servers servers
		then    []fanout.Verdict
		asked   []string
		outcome fanout.Outcome
	}{
		{"another one", each(1, "a", "b"), []fanout.Verdict{fanout.Doubted, fanout.Served}, []string{"a0", "b0"}, fanout.OutcomeServed},
		{"no other one", each(1, "a"), []fanout.Verdict{fanout.Doubted, fanout.Served}, []string{"a0", "a0"}, fanout.OutcomeServed},
		{"the other one fails", each(1, "a", "b"), []fanout.Verdict{fanout.Doubted, fanout.Failed, fanout.Served}, []string{"a0", "b0", "a0"}, fanout.OutcomeServed},
		{"nothing was sent in the end", each(1, "a"), []fanout.Verdict{fanout.Doubted, fanout.Unsent}, []string{"a0", "a0"}, fanout.OutcomeNotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			cfg := config(1, 1)
			cfg.Chooser = tc.servers
			mc := fanout.New(cfg)
			acts := mc.Start(0)
			var asked []string
			var last fanout.Action
			for k, ve := range tc.then {
				for _, ac := range acts {
					if ac.Kind == fanout.ActSend {
						asked = append(asked, ac.Upstream.ID)
					}
				}
				acts = mc.Step(time.Duration(k+1)*ms, fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: ve})
			}
			for _, ac := range acts {
				last = ac
			}
			is.Equal(asked, tc.asked)
			is.Equal(last.Kind, fanout.ActAnswer)
			is.Equal(last.Answer.Outcome, tc.outcome)
		})
	}
}
