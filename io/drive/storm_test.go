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

// fate is what becomes of one sub-request.
type fate int

const (
	fateReply fate = iota
	fateSlow
	fateOther
	fateShed
	fateReset
	fateDraining
	fateNotHeld
	fateCold
	fateGone
	fateDial
	fates
)

var refusals = map[fate]wire.Refusal{
	fateShed:     wire.RefusalShed,
	fateDraining: wire.RefusalDraining,
	fateNotHeld:  wire.RefusalNotHeld,
	fateCold:     wire.RefusalCold,
	fateGone:     wire.RefusalSnapshotGone,
}

// storm is upstreams whose sub-requests end by chance, and the count of what
// reached them.
type storm struct {
	seed    uint64
	weights [fates]int
	shards  int
	got     [fates]atomic.Int64
}

// draw is the fate of a sub-request, by its id, so that it does not depend on
// the order in which workers run.
func (st *storm) draw(id string) fate {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	total := 0
	for _, weight := range st.weights {
		total += weight
	}
	left := rand.New(rand.NewPCG(st.seed, hash.Sum64())).IntN(total)
	for fa, weight := range st.weights {
		if left < weight {
			return fate(fa)
		}
		left -= weight
	}
	return fateReply
}

func (st *storm) answer(rq wire.ShardRequest) (wire.ShardReply, error) {
	fa := st.draw(rq.ID)
	st.got[fa].Add(1)
	rp := reply(rq, st.shards)
	switch fa {
	case fateSlow:
		time.Sleep(2 * time.Millisecond)
	case fateOther:
		rp.Snapshot++
	case fateReset:
		return wire.ShardReply{}, &upst.Error{Kind: upst.KindReset, Sent: true}
	case fateDial:
		return wire.ShardReply{}, &upst.Error{Kind: upst.KindDial}
	default:
		rp.Refusal = refusals[fa]
	}
	return rp, nil
}

// sums gives the messages that arrived, and those that cost a server work or met
// one without room. A dial that failed is no message.
func (st *storm) sums() (messages, work int64) {
	for fa := range fates {
		n := st.got[fa].Load()
		if fa == fateDial {
			continue
		}
		messages += n
		if fa < fateDraining {
			work += n
		}
	}
	return messages, work
}

// What an operator of the upstreams sees: whatever they answer, this VM sends
// them little more work than it lets in.
// Sub-requests are answered, slow, refused for each reason, reset or not sent, in
// any mixture, while up to four searches run at once.
// Why: each attempt after the first follows one that cost nothing, or has spent a
// token of the VM's (a tenth of the primaries, a burst of 100); a search that
// starts over owes for all its shards. And every move to a further server, also
// after a refusal that cost nothing, has a token of another budget.
func TestSentIsBoundedByAdmitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const shards = 6
		st := &storm{shards: shards, seed: rapid.Uint64().Draw(rt, "seed")}
		for fa := range st.weights {
			st.weights[fa] = rapid.SampledFrom([]int{0, 0, 1, 5, 100}).Draw(rt, "weight")
		}
		st.weights[rapid.IntRange(0, int(fates)-1).Draw(rt, "some")]++
		st.weights[fateSlow] = min(st.weights[fateSlow], 1)
		workers := rapid.IntRange(1, 4).Draw(rt, "at once")
		se := kiosk()
		se.HardDeadlineMs = 100
		se.Hedge = team.Hedge{Quantile: 0.5, Budget: 0.1, MinDelayMs: 1}
		se.Retry = team.Retry{Budget: 1, PerShard: rapid.IntRange(0, 5).Draw(rt, "per shard")}
		ri := newRig(t, rigConfig{shards: shards, workers: 256, up: &upstream{answer: st.answer}, search: se})
		primaries := searchAll(ri, workers, rapid.IntRange(1, 20).Draw(rt, "searches"))
		ri.dr.Wait()
		ri.workers.Release()

		messages, work := st.sums()
		tokens := primaries/10 + 100 + int64(workers*shards)
		if work > primaries+tokens {
			rt.Fatalf("%d sub-requests of work for %d primaries", work, primaries)
		}
		if messages > 2*(primaries+tokens)+1000 {
			rt.Fatalf("%d messages for %d primaries", messages, primaries)
		}
	})
}

// searchAll runs searches, some at once, and gives their primaries.
func searchAll(ri *rig, workers, each int) int64 {
	var primaries atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range each {
				an := ri.dr.Search(context.Background(), searchRequest())
				primaries.Add(int64(an.Work.Primaries))
			}
		})
	}
	wg.Wait()
	return primaries.Load()
}

// What the caller sees: notRun, at once, for as long as it lasts.
// Every server is leaving and this VM never hears of it, so that each search asks
// three for each shard, until the tokens for moves are used up; then it asks two.
// Why: a refusal costs the server next to nothing, but thrice the messages of a
// full load are a storm.
func TestAllLeaving(t *testing.T) {
	is := is.New(t)
	const shards, searches = 10, 300
	st := &storm{shards: shards, weights: [fates]int{fateDraining: 1}}
	ri := newRig(t, rigConfig{shards: shards, workers: 256, up: &upstream{answer: st.answer}, search: kiosk()})
	is.Equal(searchAll(ri, 1, searches), int64(shards*searches))
	ri.dr.Wait()
	messages, work := st.sums()
	t.Logf("%d messages for %d primaries", messages, shards*searches)
	is.Equal(work, int64(0))
	// The first search finds the budget full, so that its primaries earn nothing.
	is.Equal(messages, int64(2*shards*searches+1000-shards))
	is.True(ri.mt.Value(meter.Upstream, "moveBudget") > 0)
}

// What the caller sees: whole answers.
// Two of the three servers of each shard are leaving, and this VM never hears of
// it.
// Why: in the mean one move for each shard finds the third, and each primary
// earns that one.
func TestTwoOfThreeLeaving(t *testing.T) {
	is := is.New(t)
	const shards, searches = 10, 600
	st := &storm{shards: shards, weights: [fates]int{fateDraining: 1}}
	leaving := &upstream{answer: st.answer}
	serving := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	ri := newRig(t, rigConfig{shards: shards, workers: 256, search: kiosk(), upOf: func(id view.ServerID) *upstream {
		if id%3 == 2 {
			return serving
		}
		return leaving
	}})
	for range searches {
		is.Equal(ri.dr.Search(context.Background(), searchRequest()).Outcome, wire.OutcomeComplete)
	}
}
