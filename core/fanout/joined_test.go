package fanout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
)

func countSends(acts []fanout.Action) int {
	n := 0
	for _, ac := range acts {
		if ac.Kind == fanout.ActSend {
			n++
		}
	}
	return n
}

// A joined answer with three results arrives after the target time, with one shard still open.
// Their records cannot be separated, so an answer given after only some results were processed
// would contain records of a shard that it does not list.
func TestJoinedResultsAreProcessedTogether(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(4, 1))
	mc.Start(0)
	acts := mc.StepJoined(200*ms, []fanout.Event{
		{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Served},
		{Kind: fanout.EvResult, Attempt: 1, Verdict: fanout.Served},
		{Kind: fanout.EvResult, Attempt: 2, Verdict: fanout.Served},
	})
	last := acts[len(acts)-1]
	is.Equal(last.Kind, fanout.ActAnswer)
	is.Equal(last.Answer.Winners, []int{0, 1, 2})
	is.Equal(last.Answer.Missing, 1)
}

// No hedge is sent while an attempt's answer may arrive joined with others, since the records of
// the two answers could not be separated. After ReleaseHedges, the result is known to arrive on its
// own, and a hedge is sent as soon as the attempt is late.
func TestHoldDelaysHedges(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(2, 2))
	mc.Start(0)
	mc.HoldHedges(0, 80*ms)
	mc.HoldHedges(1, 80*ms)
	is.Equal(countSends(mc.Step(60*ms, fanout.Event{Kind: fanout.EvWake})), 0)
	mc.ReleaseHedges(0)
	is.Equal(mc.Wake(), 50*ms)
	is.Equal(countSends(mc.Step(61*ms, fanout.Event{Kind: fanout.EvWake})), 1)
	is.Equal(countSends(mc.Step(81*ms, fanout.Event{Kind: fanout.EvWake})), 1)
}

// The VM that joins answers is paused. Hedges are sent meanwhile, one of them is answered, and
// then the joined answer arrives. It also contains records of that shard, which cannot be
// separated, so all of it has to be discarded.
func TestJoinedResultsAfterAnotherWinner(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(2, 2))
	mc.Start(0)
	mc.HoldHedges(0, 60*ms)
	mc.HoldHedges(1, 60*ms)
	is.Equal(countSends(mc.Step(60*ms, fanout.Event{Kind: fanout.EvWake})), 2)
	mc.Step(70*ms, fanout.Event{Kind: fanout.EvResult, Attempt: 2, Verdict: fanout.Served})
	acts := mc.StepJoined(75*ms, []fanout.Event{
		{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Served},
		{Kind: fanout.EvResult, Attempt: 1, Verdict: fanout.Served},
	})
	is.Equal(len(acts), 0)
	acts = mc.Step(80*ms, fanout.Event{Kind: fanout.EvResult, Attempt: 3, Verdict: fanout.Served})
	is.Equal(acts[len(acts)-1].Answer.Winners, []int{2, 3})
}

// The VM next to a shard's servers advises against the first of them, since it is slow. Another
// server is asked, without taking a token. If the shard has no other, the slow one has to be
// used: advice alone must not cost the answer a part.
func TestDoubtedServerIsLastChoice(t *testing.T) {
	cases := []struct {
		name     string
		servers  servers
		verdicts []fanout.Verdict
		asked    []string
		outcome  fanout.Outcome
	}{
		{"other server available", serversPerShard(1, "a", "b"), []fanout.Verdict{fanout.Doubted, fanout.Served}, []string{"a0", "b0"}, fanout.OutcomeServed},
		{"no other server", serversPerShard(1, "a"), []fanout.Verdict{fanout.Doubted, fanout.Served}, []string{"a0", "a0"}, fanout.OutcomeServed},
		{"other server fails", serversPerShard(1, "a", "b"), []fanout.Verdict{fanout.Doubted, fanout.Failed, fanout.Served}, []string{"a0", "b0", "a0"}, fanout.OutcomeServed},
		{"second attempt unsent", serversPerShard(1, "a"), []fanout.Verdict{fanout.Doubted, fanout.Unsent}, []string{"a0", "a0"}, fanout.OutcomeNotRun},
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
			for k, ve := range tc.verdicts {
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
