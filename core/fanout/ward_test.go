package fanout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
)

// broke is the event of a server that ended the connection under an attempt.
func broke(k int) fanout.Event {
	return fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Lost, Broken: true}
}

func served(k int) fanout.Event {
	return fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Served}
}

// trials counts the sends among actions, and those that are trials.
func trials(acts []fanout.Action) (sent, tried int) {
	for _, ac := range acts {
		if ac.Kind != fanout.ActSend {
			continue
		}
		sent++
		if ac.Trial {
			tried++
		}
	}
	return sent, tried
}

// answerOf is the answer among actions.
func answerOf(acts []fanout.Action) (fanout.Answer, bool) {
	for _, ac := range acts {
		if ac.Kind == fanout.ActAnswer {
			return ac.Answer, true
		}
	}
	return fanout.Answer{}, false
}

// crashEach has every server that gets a request end runs after it, and tells how many did
// and what the caller got.
func crashEach(cfg fanout.Config, runs time.Duration) (ended int, an fanout.Answer) {
	type end struct {
		at time.Duration
		k  int
	}
	mc := fanout.New(cfg)
	var ends []end
	now := time.Duration(0)
	acts := mc.Start(0)
	for {
		for _, ac := range acts {
			if ac.Kind == fanout.ActSend {
				ends = append(ends, end{at: now + runs, k: ac.Attempt})
			}
		}
		if an, ok := answerOf(acts); ok {
			return len(ends), an
		}
		wake := mc.Wake()
		if len(ends) > ended && ends[ended].at <= wake {
			now = max(now, ends[ended].at)
			acts = mc.Step(now, broke(ends[ended].k))
			ended++
			continue
		}
		now = max(now, wake)
		acts = mc.Step(now, fanout.Event{Kind: fanout.EvWake})
	}
}

// A request crashes each server that begins to run it. Each shard's end once had the next
// server of that shard asked, and where servers took their time a hedge before that: the
// callers of all shards then had no server left for seconds. On the recorded day one such
// request over 10 shards went to 20 servers within 84 ms, and its second arrival to the last
// ones.
func TestRequestThatCrashesServersGoesNoFurther(t *testing.T) {
	for _, tc := range []struct {
		shards int
		runs   time.Duration
		most   int
	}{
		{10, 30 * ms, 10 + 2},
		{10, 70 * ms, 10 + 1 + 2}, // one hedge goes out before the first end
		{10, 120 * ms, 10 + 2 + 2},
		{36, 30 * ms, 36 + 2},
		{54, 70 * ms, 54 + 1 + 2},
		{1, 30 * ms, 2}, // as many as the route allows
	} {
		t.Run(fmt.Sprintf("%d shards, %v", tc.shards, tc.runs), func(t *testing.T) {
			is := is.New(t)
			ended, an := crashEach(config(tc.shards, max(1, tc.shards*8/10)), tc.runs)
			t.Logf("sent to %d servers, %s %q", ended, an.Outcome, an.Reason)
			is.True(ended <= tc.most)
			is.Equal(an.Outcome, fanout.OutcomeFailed)
			is.True(an.At < 500*ms)
		})
	}
}

// One server of ten ends while a request runs there, and the others answer: the request did
// not crash it. Its shard is asked again as soon as the first answer shows that, and all
// ten are in the answer.
func TestAnswerClearsRequest(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(10, 8))
	mc.Start(0)
	sent, _ := trials(mc.Step(10*ms, broke(4)))
	is.Equal(sent, 0)
	sent, tried := trials(mc.Step(12*ms, served(0)))
	is.Equal(sent, 1)
	is.Equal(tried, 0)
	for k := 1; k < 10; k++ {
		if k != 4 {
			mc.Step(15*ms, served(k))
		}
	}
	an, ok := answerOf(mc.Step(20*ms, served(10)))
	is.True(ok)
	is.Equal(an.Outcome, fanout.OutcomeServed)
	is.Equal(an.Missing, 0)
}

// All near servers end at once, as with a rack. The request that ran there is tried at one
// server of another rack, which answers, and goes on to all.
func TestTrialClearsRequest(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(10, 8))
	mc.Start(0)
	var acts []fanout.Action
	for k := range 10 {
		acts = mc.Step(10*ms, broke(k))
	}
	sent, tried := trials(acts)
	is.Equal(sent, 1)
	is.Equal(tried, 1)
	sent, tried = trials(mc.Step(20*ms, served(10)))
	is.Equal(sent, 9)
	is.Equal(tried, 0)
	for k := 11; k < 20; k++ {
		acts = mc.Step(30*ms, served(k))
	}
	an, ok := answerOf(acts)
	is.True(ok)
	is.Equal(an.Missing, 0)
}

// Servers ended under a request before. It goes to one server first; the others get it once
// that one has answered, and never if it ended too.
func TestSuspectGoesToOneServerFirst(t *testing.T) {
	for _, tc := range []struct {
		name string
		ev   fanout.Event
		sent int
	}{
		{"answered", served(0), 9},
		{"failed by a server that lives", fanout.Event{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Failed}, 10},
		{"refused, so not run", fanout.Event{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Refused}, 1},
		{"ended", broke(0), 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			cfg := config(10, 8)
			cfg.Suspect = true
			mc := fanout.New(cfg)
			sent, tried := trials(mc.Start(0))
			is.Equal(sent, 1)
			is.Equal(tried, 1)
			sent, _ = trials(mc.Step(10*ms, tc.ev))
			is.Equal(sent, tc.sent)
		})
	}
}

// A trial's server ends, and with what other VMs saw the request is known by that: the next
// trial waits until this can be known, and no further server gets it.
func TestBlockedMeanwhileIsGivenUp(t *testing.T) {
	is := is.New(t)
	blocked := false
	cfg := config(10, 8)
	cfg.Suspect, cfg.TrialGap, cfg.Blocked = true, 5*ms, func() bool { return blocked }
	mc := fanout.New(cfg)
	mc.Start(0)
	sent, _ := trials(mc.Step(30*ms, broke(0)))
	is.Equal(sent, 0)
	is.Equal(mc.Wake(), 35*ms)
	blocked = true
	acts := mc.Step(35*ms, fanout.Event{Kind: fanout.EvWake})
	sent, _ = trials(acts)
	is.Equal(sent, 0)
	an, ok := answerOf(acts)
	is.True(ok)
	is.Equal(an.Reason, fanout.ReasonCrashes)
	is.Equal(an.Outcome, fanout.OutcomeFailed)
}

// A suspect for which too many shards have no server is refused as not run, with nothing
// sent.
func TestSuspectWithoutServers(t *testing.T) {
	is := is.New(t)
	cfg := config(10, 8)
	cfg.Suspect, cfg.Chooser = true, each(7, "a")
	an, ok := answerOf(fanout.New(cfg).Start(0))
	is.True(ok)
	is.Equal(an.Outcome, fanout.OutcomeNotRun)
	is.Equal(an.Attempts, 0)
}

// A trial's server says nothing. The next one is tried once that is late, so that a request
// under which servers ended by chance is still answered.
func TestLateTrialIsFollowedByAnother(t *testing.T) {
	is := is.New(t)
	cfg := config(10, 8)
	cfg.Suspect = true
	mc := fanout.New(cfg)
	mc.Start(0)
	is.Equal(mc.Wake(), cfg.HedgeAfter)
	sent, tried := trials(mc.Step(cfg.HedgeAfter, fanout.Event{Kind: fanout.EvWake}))
	is.Equal(sent, 1)
	is.Equal(tried, 1)
	sent, _ = trials(mc.Step(60*ms, served(1)))
	is.Equal(sent, 8+1) // the other shards, and a second server for the late one
}

// All ten servers are late, and none has answered: something else than the servers is at
// fault. One of them is doubled first, and the others once it or any other answers.
func TestAllLateAreNotDoubledAtOnce(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(10, 8))
	mc.Start(0)
	sent, _ := trials(mc.Step(50*ms, fanout.Event{Kind: fanout.EvWake}))
	is.Equal(sent, 1)
	is.Equal(mc.Wake(), 100*ms)
	sent, _ = trials(mc.Step(60*ms, served(10)))
	is.Equal(sent, 9)
}

// Hedges are switched off, and a trial hangs: the answer is due at the deadline, and nothing
// else goes out meanwhile.
func TestTrialWithoutHedges(t *testing.T) {
	is := is.New(t)
	cfg := config(10, 8)
	cfg.Suspect, cfg.HedgeAfter = true, 0
	mc := fanout.New(cfg)
	mc.Start(0)
	is.Equal(mc.Wake(), cfg.Hard)
	an, ok := answerOf(mc.Step(cfg.Hard, fanout.Event{Kind: fanout.EvWake}))
	is.True(ok)
	is.Equal(an.Reason, fanout.ReasonDeadline)
}
