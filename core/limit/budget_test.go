package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/budget"
	"laburnumvane/core/limit"
	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

// nextReplica picks the replicas in their order, one for each attempt.
type nextReplica struct{}

func (nextReplica) Pick(replicas, tried []view.ServerID) (view.ServerID, bool) {
	if len(tried) >= len(replicas) {
		return 0, false
	}
	return replicas[len(tried)], true
}

// randomSearches runs searches on one VM with random events, and counts the
// sub-requests.
type randomSearches struct {
	rt        *rapid.T
	vm        *budget.Budget
	primaries int
	extra     int
	// refusedElsewhere counts the sub-requests refused by a server that is
	// leaving or does not hold the shard. A retry of each needs no token.
	refusedElsewhere int
	rnd              *rand.Rand
}

func (rs *randomSearches) search(number uint64, hedges, retries *budget.Budget) {
	const shards = 20
	sn := view.Snapshot{Version: 1, Replicas: make([][]view.ServerID, shards)}
	for i := range sn.Replicas {
		sn.Replicas[i] = []view.ServerID{0, 1, 2, 3}
	}
	mc := search.New(search.Config{
		ID:            number,
		Snapshot:      sn,
		SoftDeadline:  time.Second,
		HardDeadline:  time.Second,
		MinCoverage:   1,
		HitLimit:      1,
		Chooser:       nextReplica{},
		HedgeDelay:    time.Millisecond,
		HedgeBudget:   limit.HedgeBudget(hedges, rs.vm),
		RetryBudget:   limit.RetryBudget(retries, rs.vm),
		RetryPerShard: 3,
	})
	refusals := rapid.IntRange(0, 100).Draw(rs.rt, "refusals")
	elsewhere := rapid.Bool().Draw(rs.rt, "elsewhere")
	failures := rapid.IntRange(0, 100).Draw(rs.rt, "failures")
	now := time.Duration(0)
	var inFlight []search.Action
	record := func(actions []search.Action) {
		for _, ac := range actions {
			if ac.Kind != search.ActSend {
				continue
			}
			inFlight = append(inFlight, ac)
			if ac.Attempt == search.AttemptPrimary {
				rs.primaries++
			} else {
				rs.extra++
			}
		}
	}
	record(mc.Start(now))
	for len(inFlight) > 0 {
		now += time.Duration(rs.rnd.IntN(3)) * time.Millisecond
		record(mc.Step(now, search.Event{Kind: search.EvWake}))
		i := rs.rnd.IntN(len(inFlight))
		ac := inFlight[i]
		inFlight[i] = inFlight[len(inFlight)-1]
		inFlight = inFlight[:len(inFlight)-1]
		ev := search.Event{Kind: search.EvReply, Sub: ac.Sub, Shard: ac.Shard, Snapshot: 1, Shards: shards}
		switch x := rs.rnd.IntN(100); {
		case x < refusals:
			ev = search.Event{Kind: search.EvRefused, Sub: ac.Sub, Reason: "shed", Elsewhere: elsewhere && x%2 == 0}
			if ev.Elsewhere {
				rs.refusedElsewhere++
			}
		case x < refusals+failures:
			ev = search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "reset", Sent: true}
		}
		record(mc.Step(now, ev))
	}
}

// The sub-requests sent are at most (1 + share) times the primaries plus one burst,
// whatever is refused, fails or is late, and however large the budgets of the kinds
// are. Retries after a refusal by a server that is leaving or does not hold the shard
// are not counted: they cost no work, and a search asks each replica at most once.
func TestExtraWorkIsBounded(t *testing.T) {
	const share, burst = 0.1, 15
	rapid.Check(t, func(rt *rapid.T) {
		rs := &randomSearches{
			rt:  rt,
			vm:  budget.New(budget.Config{Share: share, Burst: burst}),
			rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)),
		}
		kinds := make([]*budget.Budget, 4)
		for i := range kinds {
			kinds[i] = budget.New(budget.Config{Share: 1, Burst: 1000})
		}
		for n := range rapid.IntRange(1, 30).Draw(rt, "searches") {
			rs.search(uint64(n), kinds[2*(n%2)], kinds[2*(n%2)+1])
			if bound := share*float64(rs.primaries) + burst; float64(rs.extra-rs.refusedElsewhere) > bound {
				rt.Fatalf("%d extra for %d primaries, %d of them free; want at most %.1f", rs.extra, rs.primaries, rs.refusedElsewhere, bound)
			}
		}
	})
}

func TestCombinedBudgetSpendsBothOrNone(t *testing.T) {
	is := is.New(t)
	kind := budget.New(budget.Config{Share: 0.5, Burst: 2})
	vm := budget.New(budget.Config{Share: 0.5, Burst: 1})
	cb := limit.RetryBudget(kind, vm)
	is.True(cb.Spend())
	is.True(!cb.Spend()) // the VM's budget is empty
	is.Equal(kind.Tokens(), 1)
	cb.Refund()
	is.Equal(vm.Tokens(), 1)
	limit.HedgeBudget(kind, vm).Earn(10)
	cb.Charge(1)
	is.Equal(vm.Tokens(), 0)
}
