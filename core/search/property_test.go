package search_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

const (
	firstVersion = uint64(7)
	hardDeadline = 200 * time.Millisecond
	softDeadline = 120 * time.Millisecond
)

// An answer must be correct whatever happens: replies arrive twice, late, for
// another shard, under another snapshot or not at all; servers refuse, leave or
// stop answering; the number of shards changes during the search. The machine sees
// only events; the model knows what ran and checks the answer.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		md := newModel(rt)
		md.perform(md.mc.Start(md.now))
		steps := rapid.IntRange(0, 120).Draw(rt, "steps")
		for range steps {
			md.randomEvent()
		}
		md.advanceTo(hardDeadline)
		md.require(md.answer != nil, "no answer in the end")
	})
}

func newModel(rt *rapid.T) *model {
	md := &model{
		rt:          rt,
		maps:        map[uint64]int{},
		newer:       firstVersion,
		newestGiven: firstVersion,
		used:        map[uint64]map[int]bool{},
		tokens:      &countingBudget{available: rapid.IntRange(0, 12).Draw(rt, "tokens")},
	}
	shards := rapid.IntRange(1, 6).Draw(rt, "shards")
	for v := firstVersion; v < firstVersion+3; v++ {
		md.maps[v] = shards
		if rapid.IntRange(0, 3).Draw(rt, "repartition") == 0 {
			shards = rapid.IntRange(1, 6).Draw(rt, "shards")
		}
	}
	md.cfg = search.Config{
		ID:            5,
		Snapshot:      md.mapOf(firstVersion),
		Newer:         md.newerThan,
		SoftDeadline:  rapid.SampledFrom([]time.Duration{softDeadline, hardDeadline}).Draw(rt, "soft"),
		HardDeadline:  hardDeadline,
		MinCoverage:   rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "least"),
		AtMostOnce:    rapid.IntRange(0, 2).Draw(rt, "once") == 0,
		HitLimit:      100,
		Chooser:       firstUntried{},
		HedgeDelay:    rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond}).Draw(rt, "hedgeDelay"),
		LostDelay:     rapid.SampledFrom([]time.Duration{0, 40 * time.Millisecond}).Draw(rt, "lostDelay"),
		HedgeBudget:   md.tokens,
		RetryBudget:   md.tokens,
		RetryPerShard: rapid.IntRange(0, 3).Draw(rt, "perShard"),
		MinTimeLeft:   rapid.SampledFrom([]time.Duration{time.Millisecond, 90 * time.Millisecond}).Draw(rt, "leastTime"),
	}
	md.mc = search.New(md.cfg)
	return md
}

// randomEvent does one thing that can happen at any time.
func (md *model) randomEvent() {
	switch rapid.IntRange(0, 19).Draw(md.rt, "what") {
	case 0:
		md.step(search.Event{Kind: search.EvWake})
	case 1:
		md.newer = min(md.newer+1, firstVersion+2)
	case 2:
		md.foreignEvent()
	case 3, 4:
		md.advanceTo(md.now + time.Duration(rapid.IntRange(0, 30).Draw(md.rt, "ms"))*time.Millisecond)
	case 5:
		if rapid.IntRange(0, 4).Draw(md.rt, "cancel") == 0 {
			md.callerGone = true
			md.step(search.Event{Kind: search.EvCancel})
		}
	default:
		md.randomResult()
	}
}

// randomResult delivers the event of a random sub-request, which may have been
// delivered before.
func (md *model) randomResult() {
	if len(md.subs) == 0 {
		return
	}
	sr := md.subs[rapid.IntRange(0, len(md.subs)-1).Draw(md.rt, "flight")]
	if sr.outcome == outcomeSilent {
		return
	}
	md.deliver(sr)
}

// foreignEvent delivers an event of another search or of a sub-request that was
// never sent.
func (md *model) foreignEvent() {
	ev := search.Event{
		Kind: rapid.SampledFrom([]search.EventKind{search.EvReply, search.EvRefused, search.EvFailed}).Draw(md.rt, "kind"),
		Sub: rapid.SampledFrom([]search.SubID{
			{Search: 6, Attempt: 0},
			{Search: 5, Attempt: 1000},
			{Search: 5, Attempt: 1<<32 - 1},
		}).Draw(md.rt, "sub"),
	}
	md.fillReply(&ev, firstVersion)
	md.step(ev)
}

// Two of three replicas of every shard refuse connections. Nothing is sent to
// them, so that retries need no token: the answer is complete even with an empty
// budget and no retries allowed per shard.
func TestOneLiveReplicaIsEnough(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 40).Draw(rt, "shards")
		live := make([]view.ServerID, shards)
		for i := range live {
			live[i] = view.ServerID(3*i + rapid.IntRange(0, 2).Draw(rt, "live"))
		}
		md := newModel(rt)
		md.maps[firstVersion] = shards
		md.tokens.available = 0
		md.cfg.Snapshot = md.mapOf(firstVersion)
		md.cfg.RetryPerShard = 0
		md.mc = search.New(md.cfg)
		queue := md.mc.Start(0)
		var answer *search.Answer
		for len(queue) > 0 {
			var next []search.Action
			for _, ac := range queue {
				if ac.Kind == search.ActAnswer {
					answer = ac.Answer
				}
				if ac.Kind == search.ActSend {
					next = append(next, md.mc.Step(0, md.dialResult(ac, live))...)
				}
			}
			queue = next
		}
		md.require(answer != nil && answer.Outcome == search.OutcomeComplete, "not complete: %+v", answer)
	})
}

func (md *model) dialResult(ac search.Action, live []view.ServerID) search.Event {
	if ac.Server != live[ac.Shard] {
		return search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "dial"}
	}
	ev := search.Event{Kind: search.EvReply, Sub: ac.Sub, Shard: ac.Shard}
	md.fillReply(&ev, ac.Snapshot)
	return ev
}
