package drive_test

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// subResult is the result of one sub-request.
type subResult int

const (
	resultReply subResult = iota
	resultSlow
	resultOtherSnapshot
	resultShed
	resultReset
	resultDraining
	resultNotHeld
	resultCold
	resultSnapshotGone
	resultDialFailed
	subResults
)

var refusals = map[subResult]wire.Refusal{
	resultShed:         wire.RefusalShed,
	resultDraining:     wire.RefusalDraining,
	resultNotHeld:      wire.RefusalNotHeld,
	resultCold:         wire.RefusalCold,
	resultSnapshotGone: wire.RefusalSnapshotGone,
}

// randomUpstreams gives each sub-request a random result and counts the sub-requests by result.
type randomUpstreams struct {
	seed     uint64
	weights  [subResults]int
	shards   int
	received [subResults]atomic.Int64
}

// resultOf returns the result of a sub-request. It is derived from the id, so that it does not
// depend on the order in which workers run.
func (ru *randomUpstreams) resultOf(id string) subResult {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	total := 0
	for _, weight := range ru.weights {
		total += weight
	}
	left := rand.New(rand.NewPCG(ru.seed, hash.Sum64())).IntN(total)
	for sr, weight := range ru.weights {
		if left < weight {
			return subResult(sr)
		}
		left -= weight
	}
	return resultReply
}

func (ru *randomUpstreams) answer(rq wire.ShardRequest) (wire.ShardReply, error) {
	sr := ru.resultOf(rq.ID)
	ru.received[sr].Add(1)
	rp := reply(rq, ru.shards)
	switch sr {
	case resultSlow:
		time.Sleep(2 * time.Millisecond)
	case resultOtherSnapshot:
		rp.Snapshot++
	case resultReset:
		return wire.ShardReply{}, &upst.Error{Kind: upst.KindReset, Sent: true}
	case resultDialFailed:
		return wire.ShardReply{}, &upst.Error{Kind: upst.KindDial}
	default:
		rp.Refusal = refusals[sr]
	}
	return rp, nil
}

// sums returns the number of messages that arrived, and of those that cost a server work or were
// refused for lack of capacity. A failed dial is not a message.
func (ru *randomUpstreams) sums() (messages, work int64) {
	for sr := range subResults {
		n := ru.received[sr].Load()
		if sr == resultDialFailed {
			continue
		}
		messages += n
		if sr < resultDraining {
			work += n
		}
	}
	return messages, work
}

// Whatever the upstream servers answer, this VM must send them little more work than it admits.
// Sub-requests are answered, slow, refused for each reason, reset or not sent, in any mixture,
// while up to four searches run concurrently. The bound follows from the budgets. Each attempt
// after the first follows one that cost nothing or spends a token of the VM (a tenth of the
// primaries, a burst of 100), and a search that starts over has to pay for all its shards. Every
// move to a further server, also after a refusal that cost nothing, spends a token of a second
// budget.
func TestSentIsBoundedByAdmitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const shards = 6
		ru := &randomUpstreams{shards: shards, seed: rapid.Uint64().Draw(rt, "seed")}
		for sr := range ru.weights {
			ru.weights[sr] = rapid.SampledFrom([]int{0, 0, 1, 5, 100}).Draw(rt, "weight")
		}
		ru.weights[rapid.IntRange(0, int(subResults)-1).Draw(rt, "some")]++
		ru.weights[resultSlow] = min(ru.weights[resultSlow], 1)
		workers := rapid.IntRange(1, 4).Draw(rt, "at once")
		se := kiosk()
		se.HardDeadlineMs = 100
		se.Hedge = team.Hedge{Quantile: 0.5, Budget: 0.1, MinDelayMs: 1}
		se.Retry = team.Retry{Budget: 1, PerShard: rapid.IntRange(0, 5).Draw(rt, "per shard")}
		fx := newFixture(t, fixtureConfig{shards: shards, workers: 256, up: &upstream{answer: ru.answer}, search: se})
		primaries := searchAll(fx, workers, rapid.IntRange(1, 20).Draw(rt, "searches"))
		fx.dr.Wait()
		fx.workers.Release()

		messages, work := ru.sums()
		tokens := primaries/10 + 100 + int64(workers*shards)
		if work > primaries+tokens {
			rt.Fatalf("%d sub-requests of work for %d primaries", work, primaries)
		}
		if messages > 2*(primaries+tokens)+1000 {
			rt.Fatalf("%d messages for %d primaries", messages, primaries)
		}
	})
}

// searchAll runs searches on several workers and returns the number of their primary sub-requests.
func searchAll(fx *fixture, workers, each int) int64 {
	var primaries atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range each {
				an := fx.dr.Search(context.Background(), searchRequest())
				primaries.Add(int64(an.Work.Primaries))
			}
		})
	}
	wg.Wait()
	return primaries.Load()
}

// Every server is leaving and this VM never learns of it. Each search asks three servers for each
// shard until the tokens for moves are used up, and two from then on. The searches don't run. A
// refusal costs a server almost nothing, but at full load three times the messages would be too
// many.
func TestAllLeaving(t *testing.T) {
	is := is.New(t)
	const shards, searches = 10, 300
	ru := &randomUpstreams{shards: shards, weights: [subResults]int{resultDraining: 1}}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 256, up: &upstream{answer: ru.answer}, search: kiosk()})
	is.Equal(searchAll(fx, 1, searches), int64(shards*searches))
	fx.dr.Wait()
	messages, work := ru.sums()
	t.Logf("%d messages for %d primaries", messages, shards*searches)
	is.Equal(work, int64(0))
	// The budget is full at the first search, so that its primaries earn no tokens.
	is.Equal(messages, int64(2*shards*searches+1000-shards))
	is.True(fx.mt.Value(meter.Upstream, "moveBudget") > 0)
}

// Two of the three servers of each shard are leaving, and this VM never learns of it. All searches
// must be complete: on average one move for each shard finds the third server, and each primary
// earns the token for one move.
func TestTwoOfThreeLeaving(t *testing.T) {
	is := is.New(t)
	const shards, searches = 10, 600
	ru := &randomUpstreams{shards: shards, weights: [subResults]int{resultDraining: 1}}
	leaving := &upstream{answer: ru.answer}
	serving := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 256, search: kiosk(), upOf: func(id view.ServerID) *upstream {
		if id%3 == 2 {
			return serving
		}
		return leaving
	}})
	for range searches {
		is.Equal(fx.dr.Search(context.Background(), searchRequest()).Outcome, wire.OutcomeComplete)
	}
}
