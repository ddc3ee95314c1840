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

// What a caller may be told must be true whatever happens on the way: replies
// come twice, late, for another shard, under another snapshot or not at all;
// servers refuse, leave or go silent; snapshots change size under the search.
// The machine sees only events; the model knows what ran and judges.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wd := newWorld(rt)
		wd.perform(wd.mc.Start(wd.now))
		steps := rapid.IntRange(0, 120).Draw(rt, "steps")
		for range steps {
			wd.any()
		}
		wd.pass(hardDeadline)
		wd.must(wd.answer != nil, "no answer in the end")
	})
}

func newWorld(rt *rapid.T) *world {
	wd := &world{
		rt:     rt,
		maps:   map[uint64]int{},
		newer:  firstVersion,
		force:  firstVersion,
		used:   map[uint64]map[int]bool{},
		tokens: &tokens{have: rapid.IntRange(0, 12).Draw(rt, "tokens")},
	}
	shards := rapid.IntRange(1, 6).Draw(rt, "shards")
	for v := firstVersion; v < firstVersion+3; v++ {
		wd.maps[v] = shards
		if rapid.IntRange(0, 3).Draw(rt, "repartition") == 0 {
			shards = rapid.IntRange(1, 6).Draw(rt, "shards")
		}
	}
	wd.cfg = search.Config{
		Number:        5,
		Snapshot:      wd.mapOf(firstVersion),
		Newer:         wd.newerThan,
		Soft:          rapid.SampledFrom([]time.Duration{softDeadline, hardDeadline}).Draw(rt, "soft"),
		Hard:          hardDeadline,
		MinCoverage:   rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "least"),
		Once:          rapid.IntRange(0, 2).Draw(rt, "once") == 0,
		HitLimit:      100,
		Chooser:       firstFree{},
		HedgeDelay:    rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond}).Draw(rt, "hedgeDelay"),
		LostDelay:     rapid.SampledFrom([]time.Duration{0, 40 * time.Millisecond}).Draw(rt, "lostDelay"),
		HedgeBudget:   wd.tokens,
		RetryBudget:   wd.tokens,
		RetryPerShard: rapid.IntRange(0, 3).Draw(rt, "perShard"),
		LeastTime:     rapid.SampledFrom([]time.Duration{time.Millisecond, 90 * time.Millisecond}).Draw(rt, "leastTime"),
	}
	wd.mc = search.New(wd.cfg)
	return wd
}

// any does one thing that can happen at any moment.
func (wd *world) any() {
	switch rapid.IntRange(0, 19).Draw(wd.rt, "what") {
	case 0:
		wd.step(search.Event{Kind: search.EvWake})
	case 1:
		wd.newer = min(wd.newer+1, firstVersion+2)
	case 2:
		wd.foreign()
	case 3, 4:
		wd.pass(wd.now + time.Duration(rapid.IntRange(0, 30).Draw(wd.rt, "ms"))*time.Millisecond)
	case 5:
		if rapid.IntRange(0, 4).Draw(wd.rt, "cancel") == 0 {
			wd.callerGone = true
			wd.step(search.Event{Kind: search.EvCancel})
		}
	default:
		wd.anyFlight()
	}
}

// anyFlight tells the end of a flight, which may have been told before.
func (wd *world) anyFlight() {
	if len(wd.flights) == 0 {
		return
	}
	fl := wd.flights[rapid.IntRange(0, len(wd.flights)-1).Draw(wd.rt, "flight")]
	if fl.fate == fateSilent {
		return
	}
	wd.deliver(fl)
}

// foreign is an event of another search, or of an attempt that never was.
func (wd *world) foreign() {
	ev := search.Event{
		Kind: rapid.SampledFrom([]search.EventKind{search.EvReply, search.EvRefused, search.EvFailed}).Draw(wd.rt, "kind"),
		Sub: rapid.SampledFrom([]search.SubID{
			{Search: 6, Attempt: 0},
			{Search: 5, Attempt: 1000},
			{Search: 5, Attempt: 1<<32 - 1},
		}).Draw(wd.rt, "sub"),
	}
	wd.fill(&ev, firstVersion)
	wd.step(ev)
}

// Two of three replicas of every shard are gone and refuse connections. No byte
// goes to them, so that trying the third costs no upstream anything: the answer
// is complete even where no extra work is allowed at all.
func TestOneLiveReplicaIsEnough(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 40).Draw(rt, "shards")
		live := make([]view.ServerID, shards)
		for i := range live {
			live[i] = view.ServerID(3*i + rapid.IntRange(0, 2).Draw(rt, "live"))
		}
		wd := newWorld(rt)
		wd.maps[firstVersion] = shards
		wd.tokens.have = 0
		wd.cfg.Snapshot = wd.mapOf(firstVersion)
		wd.cfg.RetryPerShard = 0
		wd.mc = search.New(wd.cfg)
		queue := wd.mc.Start(0)
		var answer *search.Answer
		for len(queue) > 0 {
			var next []search.Action
			for _, ac := range queue {
				if ac.Kind == search.ActAnswer {
					answer = ac.Answer
				}
				if ac.Kind == search.ActSend {
					next = append(next, wd.mc.Step(0, wd.reachable(ac, live))...)
				}
			}
			queue = next
		}
		wd.must(answer != nil && answer.Outcome == search.OutcomeComplete, "not complete: %+v", answer)
	})
}

func (wd *world) reachable(ac search.Action, live []view.ServerID) search.Event {
	if ac.Server != live[ac.Shard] {
		return search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "dial"}
	}
	ev := search.Event{Kind: search.EvReply, Sub: ac.Sub, Shard: ac.Shard}
	wd.fill(&ev, ac.Snapshot)
	return ev
}
