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

// churn simulates a fleet whose VMs are replaced, while each VM sees an outdated list of VMs. Time is
// virtual, in steps of a second.
type churn struct {
	n     int
	limit int
	// lag is the greatest age of the list that a VM sees.
	lag time.Duration
	// every is the time between two replacements; if 0, all VMs are replaced after a minute.
	every time.Duration
	seed  uint64
}

const (
	churnTime = 150 * time.Second
	replicas  = 3
)

// simVM is one VM of the simulation.
type simVM struct {
	vm        conns.VM
	startedAt time.Duration
	lag       time.Duration
	roster    *conns.Roster
	planner   *conns.Planner
	// nextVersion is the version of the list that was used last, plus 1; 0 if none was.
	nextVersion int
}

// vmList is the list of live VMs at some time; the version changes with its contents.
type vmList struct {
	vms     []conns.VM
	version int
}

func (ch churn) boot(i int, born time.Duration, rnd *rand.Rand) *simVM {
	sv := &simVM{vm: vmNumber(i, "a"), startedAt: born, lag: time.Duration(rnd.Int64N(int64(ch.lag) + 1))}
	sv.roster = conns.NewRoster(conns.RosterConfig{Self: sv.vm, DepartureDelay: time.Minute, SettleTime: 5 * time.Second})
	sv.planner = newPlanner(sv.vm, nil, false, conns.Group{Service: "s", DataCentre: "a", Replicas: replicas, Limit: ch.limit})
	return sv
}

// peakConnections returns the highest number of connections that all VMs together had to one server
// at any time: with the planner, with limit/N of the N VMs seen, and with the whole limit for each
// VM. The VMs begin with a full view of each other.
func (ch churn) peakConnections() (plan, static, undivided int) {
	rnd := rand.New(rand.NewPCG(ch.seed, 1))
	var live []*simVM
	for i := range ch.n {
		live = append(live, ch.boot(i, -time.Hour, rnd))
	}
	next := ch.n
	var history []vmList
	version := 0
	for now := time.Duration(0); now < churnTime; now += time.Second {
		for range ch.replacements(now) {
			replaced := rnd.IntN(len(live))
			live = append(slices.Delete(live, replaced, replaced+1), ch.boot(next, now, rnd))
			next++
			version++
		}
		history = append(history, vmList{vms: connVMs(live), version: version})
		sums := make([]int, replicas)
		evenSum := 0
		for _, sv := range live {
			seen := history[max(0, len(history)-1-int(sv.lag/time.Second))]
			evenSum += max(1, ch.limit/max(1, len(seen.vms)))
			for i := range sums {
				sums[i] += sv.share(now, seen, i)
			}
		}
		plan = max(plan, slices.Max(sums))
		static = max(static, evenSum)
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

func connVMs(live []*simVM) []conns.VM {
	out := make([]conns.VM, len(live))
	for i, sv := range live {
		out[i] = sv.vm
	}
	return out
}

func (sv *simVM) share(now time.Duration, seen vmList, replica int) int {
	age := now - sv.startedAt
	for _, ch := range sv.changes(age, seen) {
		sv.planner.Apply(ch)
	}
	share := sv.planner.Share(0, replica)
	if sv.roster.Cautious(age) {
		return min(1, share)
	}
	return share
}

func (sv *simVM) changes(age time.Duration, seen vmList) []conns.Change {
	if sv.nextVersion == seen.version+1 {
		return sv.roster.Expire(age)
	}
	sv.nextVersion = seen.version + 1
	return sv.roster.Update(age, seen.vms)
}

var churns = []struct {
	name string
	ch   churn
	// maxFactor is the bound on the connections, as a multiple of the limit.
	maxFactor float64
}{
	{"9 VMs, one replaced each 20 s, list a second old", churn{n: 9, limit: 30, lag: time.Second, every: 20 * time.Second}, 1},
	{"9 VMs, one replaced each 20 s, list a minute old", churn{n: 9, limit: 30, lag: time.Minute, every: 20 * time.Second}, 1},
	{"9 VMs, all replaced at once, list a minute old", churn{n: 9, limit: 30, lag: time.Minute}, 1},
	{"8 VMs, all replaced at once, list a minute old", churn{n: 8, limit: 25, lag: time.Minute}, 1},
	{"100 VMs, one replaced each 10 s, list a second old", churn{n: 100, limit: 100, lag: time.Second, every: 10 * time.Second}, 1},
	{"330 VMs, one replaced each 5 s, list a second old", churn{n: 330, limit: 25, lag: time.Second, every: 5 * time.Second}, 1},
	{"330 VMs, one replaced each 5 s, list a minute old", churn{n: 330, limit: 25, lag: time.Minute, every: 5 * time.Second}, 1},
	{"330 VMs, all replaced at once, list a minute old", churn{n: 330, limit: 25, lag: time.Minute}, 1.5},
}

// Guards against exceeding a server's limit while VMs are replaced one by one, or all at once with a
// list that is a minute old. The second case does not hold for 330 VMs: none of the VMs in the list
// is alive, and no VM knows its rank among the live ones. Then at most half as many connections again
// may be tried; the server's refusals reduce the limits and so bound the excess.
func TestChurnStaysWithinLimit(t *testing.T) {
	for _, tt := range churns {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(max(1, 20/tt.ch.n)) {
				tt.ch.seed = seed
				plan, static, undivided := tt.ch.peakConnections()
				t.Logf("limit %d: plan %d, limit/N %d, undivided %d", tt.ch.limit, plan, static, undivided)
				is.True(float64(plan) <= tt.maxFactor*float64(tt.ch.limit))
			}
		})
	}
}

// BenchmarkChurn measures the highest number of connections to one server, relative to its limit,
// with the planner and with two simple methods in the same run.
func BenchmarkChurn(b *testing.B) {
	for _, tt := range churns {
		b.Run(fmt.Sprint(tt.name), func(b *testing.B) {
			worst := [3]int{}
			for i := range b.N {
				tt.ch.seed = uint64(i)
				plan, static, undivided := tt.ch.peakConnections()
				worst = [3]int{max(worst[0], plan), max(worst[1], static), undivided}
			}
			for i, name := range []string{"plan/limit", "staticShare/limit", "undivided/limit"} {
				b.ReportMetric(float64(worst[i])/float64(tt.ch.limit), name)
			}
		})
	}
}
