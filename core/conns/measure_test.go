package conns_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/conns"
)

// churn is a fleet whose VMs are replaced, each VM seeing the list of VMs as it
// was a while ago. Time is virtual, in steps of a second.
type churn struct {
	n     int
	limit int
	// lag is the oldest that a VM's list can be.
	lag time.Duration
	// every is the time between two replacements; all at once at the minute if 0.
	every time.Duration
	seed  uint64
}

const (
	churnFor = 150 * time.Second
	replicas = 3
)

// node is one VM of the simulation.
type node struct {
	vm      conns.VM
	born    time.Duration
	lag     time.Duration
	roster  *conns.Roster
	planner *conns.Planner
	// seen is the version of the list that was taken last, and 1.
	seen int
}

// list is the VMs alive at some time; its version tells it from the one before.
type list struct {
	vms     []conns.VM
	version int
}

func (ch churn) boot(i int, born time.Duration, rnd *rand.Rand) *node {
	no := &node{vm: vmNumber(i, "a"), born: born, lag: time.Duration(rnd.Int64N(int64(ch.lag) + 1))}
	no.roster = conns.NewRoster(conns.RosterConfig{Self: no.vm, Hold: time.Minute, Patience: 5 * time.Second})
	no.planner = planOf(no.vm, nil, false, conns.Group{Service: "s", DataCentre: "a", Replicas: replicas, Limit: ch.limit})
	return no
}

// most is the highest number of connections that all VMs together had to one
// server at any time, by the plan, by limit/N of the N seen, and undivided. The
// VMs begin with a full view of each other.
func (ch churn) most() (plan, static, undivided int) {
	rnd := rand.New(rand.NewPCG(ch.seed, 1))
	var live []*node
	for i := range ch.n {
		live = append(live, ch.boot(i, -time.Hour, rnd))
	}
	next := ch.n
	var history []list
	version := 0
	for now := time.Duration(0); now < churnFor; now += time.Second {
		for range ch.replacements(now) {
			at := rnd.IntN(len(live))
			live = append(slices.Delete(live, at, at+1), ch.boot(next, now, rnd))
			next++
			version++
		}
		history = append(history, list{vms: vmsIn(live), version: version})
		sums := make([]int, replicas)
		even := 0
		for _, no := range live {
			seen := history[max(0, len(history)-1-int(no.lag/time.Second))]
			even += max(1, ch.limit/max(1, len(seen.vms)))
			for i := range sums {
				sums[i] += no.share(now, seen, i)
			}
		}
		plan = max(plan, slices.Max(sums))
		static = max(static, even)
	}
	return plan, static, ch.n * ch.limit
}

func (ch churn) replacements(now time.Duration) int {
	switch {
	case ch.every > 0 && now > 0 && now%ch.every == 0:
		return 1
	case ch.every == 0 && now == time.Minute:
		return ch.n
	default:
		return 0
	}
}

func vmsIn(live []*node) []conns.VM {
	out := make([]conns.VM, len(live))
	for i, no := range live {
		out[i] = no.vm
	}
	return out
}

func (no *node) share(now time.Duration, seen list, replica int) int {
	age := now - no.born
	for _, ch := range no.changes(age, seen) {
		no.planner.Apply(ch)
	}
	share := no.planner.Share(0, replica)
	if no.roster.Cautious(age) {
		return min(1, share)
	}
	return share
}

func (no *node) changes(age time.Duration, seen list) []conns.Change {
	if no.seen == seen.version+1 {
		return no.roster.Expire(age)
	}
	no.seen = seen.version + 1
	return no.roster.Update(age, seen.vms)
}

var churns = []struct {
	name string
	ch   churn
	// times the limit are never passed.
	times float64
}{
	{"9 VMs, one replaced each 20 s, beats", churn{n: 9, limit: 30, lag: time.Second, every: 20 * time.Second}, 1},
	{"9 VMs, one replaced each 20 s, list a minute old", churn{n: 9, limit: 30, lag: time.Minute, every: 20 * time.Second}, 1},
	{"9 VMs, all replaced at once, list a minute old", churn{n: 9, limit: 30, lag: time.Minute}, 1},
	{"8 VMs, all replaced at once, list a minute old", churn{n: 8, limit: 25, lag: time.Minute}, 1},
	{"100 VMs, one replaced each 10 s, beats", churn{n: 100, limit: 100, lag: time.Second, every: 10 * time.Second}, 1},
	{"330 VMs, one replaced each 5 s, beats", churn{n: 330, limit: 25, lag: time.Second, every: 5 * time.Second}, 1},
	{"330 VMs, one replaced each 5 s, list a minute old", churn{n: 330, limit: 25, lag: time.Minute, every: 5 * time.Second}, 1},
	{"330 VMs, all replaced at once, list a minute old", churn{n: 330, limit: 25, lag: time.Minute}, 1.5},
}

// The server refuses no connection while VMs are replaced one by one, nor, today,
// when all are at once with a list that is a minute old. At 330 VMs the last
// holds no more: nobody in the list is alive, and no VM knows its rank among the
// living. Then at most half as many again are tried, and the server's refusals,
// which cut the limits, are what bounds it.
func TestChurnStaysWithinLimit(t *testing.T) {
	for _, tt := range churns {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(max(1, 20/tt.ch.n)) {
				tt.ch.seed = seed
				plan, static, undivided := tt.ch.most()
				t.Logf("limit %d: plan %d, limit/N %d, undivided %d", tt.ch.limit, plan, static, undivided)
				is.True(float64(plan) <= tt.times*float64(tt.ch.limit))
			}
		})
	}
}

// Connections on one server at most, over its limit, by the plan and by two
// plain ways in the same run.
func BenchmarkChurn(b *testing.B) {
	for _, tt := range churns {
		b.Run(fmt.Sprint(tt.name), func(b *testing.B) {
			worst := [3]int{}
			for i := range b.N {
				tt.ch.seed = uint64(i)
				plan, static, undivided := tt.ch.most()
				worst = [3]int{max(worst[0], plan), max(worst[1], static), undivided}
			}
			for i, name := range []string{"plan/limit", "staticShare/limit", "undivided/limit"} {
				b.ReportMetric(float64(worst[i])/float64(tt.ch.limit), name)
			}
		})
	}
}
