package fanout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
)

// broke returns the event of a server that ended the connection of attempt k.
func broke(k int) fanout.Event {
	return fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Lost, Broken: true}
}

func served(k int) fanout.Event {
	return fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Served}
}

// countTrials counts the sent attempts among actions, and the trials among those.
func countTrials(acts []fanout.Action) (sent, tried int) {
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

// answerOf returns the answer among actions, if there is one.
func answerOf(acts []fanout.Action) (fanout.Answer, bool) {
	for _, ac := range acts {
		if ac.Kind == fanout.ActAnswer {
			return ac.Answer, true
		}
	}
	return fanout.Answer{}, false
}

// crashEach crashes every server the given time after it was sent the request. It returns how
// many crashed, and the answer.
func crashEach(cfg fanout.Config, crashAfter time.Duration) (crashed int, an fanout.Answer) {
	type crash struct {
		at time.Duration
		k  int
	}
	mc := fanout.New(cfg)
	var crashes []crash
	now := time.Duration(0)
	acts := mc.Start(0)
	for {
		for _, ac := range acts {
			if ac.Kind == fanout.ActSend {
				crashes = append(crashes, crash{at: now + crashAfter, k: ac.Attempt})
			}
		}
		if an, ok := answerOf(acts); ok {
			return len(crashes), an
		}
		wake := mc.Wake()
		if len(crashes) > crashed && crashes[crashed].at <= wake {
			now = max(now, crashes[crashed].at)
			acts = mc.Step(now, broke(crashes[crashed].k))
			crashed++
			continue
		}
		now = max(now, wake)
		acts = mc.Step(now, fanout.Event{Kind: fanout.EvWake})
	}
}

// The request crashes every server that starts to run it. Without the guard, each crash made the
// shard ask its next server, and hedges were sent before that where the crash took long: all
// shards were left without servers for seconds. In the recorded day, one such request over 10
// shards reached 20 servers within 84 ms, and its second arrival reached the rest.
func TestCrashingRequestIsContained(t *testing.T) {
	for _, tc := range []struct {
		shards     int
		crashAfter time.Duration
		maxServers int
	}{
		{10, 30 * ms, 10 + 2},
		{10, 70 * ms, 10 + 1 + 2}, // one hedge is sent before the first crash
		{10, 120 * ms, 10 + 2 + 2},
		{36, 30 * ms, 36 + 2},
		{54, 70 * ms, 54 + 1 + 2},
		{1, 30 * ms, 2}, // as many as the route allows
	} {
		t.Run(fmt.Sprintf("%d shards, %v", tc.shards, tc.crashAfter), func(t *testing.T) {
			is := is.New(t)
			crashed, an := crashEach(config(tc.shards, max(1, tc.shards*8/10)), tc.crashAfter)
			t.Logf("sent to %d servers, %s %q", crashed, an.Outcome, an.Reason)
			is.True(crashed <= tc.maxServers)
			is.Equal(an.Outcome, fanout.OutcomeFailed)
			is.True(an.At < 500*ms)
		})
	}
}

// One server of ten crashes while a request runs on it, and the others answer, so the request is
// not the cause. The shard is retried as soon as the first answer shows that, and all ten shards
// are in the answer.
func TestAnswerClearsRequest(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(10, 8))
	mc.Start(0)
	sent, _ := countTrials(mc.Step(10*ms, broke(4)))
	is.Equal(sent, 0)
	sent, tried := countTrials(mc.Step(12*ms, served(0)))
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

// All nearby servers crash at once, as with a rack failure. The request that ran on them is tried
// on one server of another rack, which answers, and is then sent to all shards.
func TestTrialClearsRequest(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(10, 8))
	mc.Start(0)
	var acts []fanout.Action
	for k := range 10 {
		acts = mc.Step(10*ms, broke(k))
	}
	sent, tried := countTrials(acts)
	is.Equal(sent, 1)
	is.Equal(tried, 1)
	sent, tried = countTrials(mc.Step(20*ms, served(10)))
	is.Equal(sent, 9)
	is.Equal(tried, 0)
	for k := 11; k < 20; k++ {
		acts = mc.Step(30*ms, served(k))
	}
	an, ok := answerOf(acts)
	is.True(ok)
	is.Equal(an.Missing, 0)
}

// Servers crashed under an earlier arrival of the request. It is sent to one server first; the
// other shards follow once that one has answered, and not at all if it crashed too.
func TestSuspectGoesToOneServerFirst(t *testing.T) {
	for _, tc := range []struct {
		name string
		ev   fanout.Event
		sent int
	}{
		{"answered", served(0), 9},
		{"failed without a crash", fanout.Event{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Failed}, 10},
		{"refused, not run", fanout.Event{Kind: fanout.EvResult, Attempt: 0, Verdict: fanout.Refused}, 1},
		{"crashed", broke(0), 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			cfg := config(10, 8)
			cfg.Suspect = true
			mc := fanout.New(cfg)
			sent, tried := countTrials(mc.Start(0))
			is.Equal(sent, 1)
			is.Equal(tried, 1)
			sent, _ = countTrials(mc.Step(10*ms, tc.ev))
			is.Equal(sent, tc.sent)
		})
	}
}

// The server of a trial crashes, which together with reports from other VMs identifies the
// request as the cause. The next trial waits until that can be known, and is then not sent.
func TestRequestBlockedDuringTrial(t *testing.T) {
	is := is.New(t)
	blocked := false
	cfg := config(10, 8)
	cfg.Suspect, cfg.TrialGap, cfg.Blocked = true, 5*ms, func() bool { return blocked }
	mc := fanout.New(cfg)
	mc.Start(0)
	sent, _ := countTrials(mc.Step(30*ms, broke(0)))
	is.Equal(sent, 0)
	is.Equal(mc.Wake(), 35*ms)
	blocked = true
	acts := mc.Step(35*ms, fanout.Event{Kind: fanout.EvWake})
	sent, _ = countTrials(acts)
	is.Equal(sent, 0)
	an, ok := answerOf(acts)
	is.True(ok)
	is.Equal(an.Reason, fanout.ReasonCrashes)
	is.Equal(an.Outcome, fanout.OutcomeFailed)
}

// Too many shards have no server for a suspect request: it is refused as not run, with nothing
// sent.
func TestSuspectWithoutServers(t *testing.T) {
	is := is.New(t)
	cfg := config(10, 8)
	cfg.Suspect, cfg.Chooser = true, serversPerShard(7, "a")
	an, ok := answerOf(fanout.New(cfg).Start(0))
	is.True(ok)
	is.Equal(an.Outcome, fanout.OutcomeNotRun)
	is.Equal(an.Attempts, 0)
}

// The server of a trial does not answer. Once it is late, the next trial is sent, so that a
// request under which servers crashed by chance is still answered.
func TestLateTrialIsFollowedByAnotherTrial(t *testing.T) {
	is := is.New(t)
	cfg := config(10, 8)
	cfg.Suspect = true
	mc := fanout.New(cfg)
	mc.Start(0)
	is.Equal(mc.Wake(), cfg.HedgeAfter)
	sent, tried := countTrials(mc.Step(cfg.HedgeAfter, fanout.Event{Kind: fanout.EvWake}))
	is.Equal(sent, 1)
	is.Equal(tried, 1)
	sent, _ = countTrials(mc.Step(60*ms, served(1)))
	is.Equal(sent, 8+1) // the other shards, and a hedge for the late one
}

// All ten servers are late and none has answered, so the cause is not the individual servers. One
// hedge is sent first, and the others once any server answers.
func TestAllShardsLateAreNotHedgedAtOnce(t *testing.T) {
	is := is.New(t)
	mc := fanout.New(config(10, 8))
	mc.Start(0)
	sent, _ := countTrials(mc.Step(50*ms, fanout.Event{Kind: fanout.EvWake}))
	is.Equal(sent, 1)
	is.Equal(mc.Wake(), 100*ms)
	sent, _ = countTrials(mc.Step(60*ms, served(10)))
	is.Equal(sent, 9)
}

// Hedging is off and a trial hangs: nothing else is sent, and the answer is given at the
// deadline.
func TestTrialWithoutHedges(t *testing.T) {
	is := is.New(t)
	cfg := config(10, 8)
	cfg.Suspect, cfg.HedgeAfter = true, 0
	mc := fanout.New(cfg)
	mc.Start(0)
	is.Equal(mc.Wake(), cfg.HardDeadline)
	an, ok := answerOf(mc.Step(cfg.HardDeadline, fanout.Event{Kind: fanout.EvWake}))
	is.True(ok)
	is.Equal(an.Reason, fanout.ReasonDeadline)
}
