package share_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/share"
)

// groupMessage is a message in transit: demands within a group, or between groups.
type groupMessage struct {
	at      time.Duration
	to      int
	demands []share.Demand
	sums    []share.GroupDemand
}

// testGroups is a number of VMs in groups that send their demands once a second.
type testGroups struct {
	now           time.Duration
	rnd           *rand.Rand
	vms           []*testVM
	group         []int
	messages      []groupMessage
	maxDelay      time.Duration
	maxGroupDelay time.Duration
	// blocked reports whether a message from one VM to another is lost.
	blocked    func(from, to int) bool
	aggregates func(vm int) bool
	offered    func(vm int) float64
}

func newGroups(sizes []int, seed uint64) *testGroups {
	gs := &testGroups{rnd: rand.New(rand.NewPCG(seed, 4)), maxDelay: 100 * time.Millisecond, maxGroupDelay: 500 * time.Millisecond}
	gs.blocked = func(int, int) bool { return false }
	for gr, size := range sizes {
		for range size {
			id := share.VM{Addr: strconv.Itoa(len(gs.vms)), Incarnation: 1}
			vm := &testVM{id: id, mc: share.New(share.Config{Self: id, Group: strconv.Itoa(gr)})}
			vm.bucket = vm.mc.Limit(0, team, share.Limit{Rate: 100})
			gs.vms = append(gs.vms, vm)
			gs.group = append(gs.group, gr)
		}
	}
	// The first VM of each group is its aggregator.
	gs.aggregates = func(i int) bool { return i == slices.Index(gs.group, gs.group[i]) }
	counts := make(map[string]int)
	for gr, size := range sizes {
		counts[strconv.Itoa(gr)] = size
	}
	for i, vm := range gs.vms {
		var others []share.VM
		for j, other := range gs.vms {
			if i != j && gs.group[i] == gs.group[j] {
				others = append(others, other.id)
			}
		}
		vm.mc.Groups(0, counts)
		vm.mc.Members(0, others)
	}
	return gs
}

func (gs *testGroups) tick() {
	const step = 100 * time.Millisecond
	gs.now += step
	gs.deliver()
	for i, vm := range gs.vms {
		vm.offer(gs.now, gs.offered(i)*step.Seconds())
		if int(gs.now/step)%10 == i%10 {
			gs.sendDemands(i)
			vm.mc.Step(gs.now)
		}
	}
}

func (gs *testGroups) sendDemands(i int) {
	mc := gs.vms[i].mc
	mc.SetAggregator(gs.now, gs.aggregates(i))
	demands := slices.Clone(mc.Outgoing(gs.now))
	sums := slices.Clone(mc.OutgoingGroupDemands(gs.now))
	for j := range gs.vms {
		if j == i || gs.blocked(i, j) {
			continue
		}
		if gs.group[i] == gs.group[j] {
			delay := time.Duration(gs.rnd.Int64N(int64(gs.maxDelay) + 1))
			gs.messages = append(gs.messages, groupMessage{at: gs.now + delay, to: j, demands: demands})
		} else if len(sums) > 0 {
			delay := time.Duration(gs.rnd.Int64N(int64(gs.maxGroupDelay) + 1))
			gs.messages = append(gs.messages, groupMessage{at: gs.now + delay, to: j, sums: sums})
		}
	}
}

func (gs *testGroups) deliver() {
	left := gs.messages[:0]
	for _, msg := range gs.messages {
		if msg.at > gs.now {
			left = append(left, msg)
			continue
		}
		gs.vms[msg.to].mc.Incoming(gs.now, msg.demands)
		gs.vms[msg.to].mc.IncomingGroupDemands(gs.now, msg.sums)
	}
	gs.messages = left
}

func (gs *testGroups) run(d time.Duration) {
	for until := gs.now + d; gs.now < until; {
		gs.tick()
	}
}

func (gs *testGroups) shareSum() float64 {
	total := 0.0
	for _, vm := range gs.vms {
		total += vm.mc.Share(team)
	}
	return total
}

// settleTime is the time after which no VM counts as new among the groups, by the
// defaults: nine plus six Windows of 3 s, and some seconds.
const settleTime = 60 * time.Second

func randomGroups(rt *rapid.T) *testGroups {
	sizes := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 4).Draw(rt, "sizes")
	gs := newGroups(sizes, rapid.Uint64().Draw(rt, "seed"))
	gs.maxDelay = time.Duration(rapid.IntRange(0, 900).Draw(rt, "way")) * time.Millisecond
	gs.maxGroupDelay = time.Duration(rapid.IntRange(0, 2000).Draw(rt, "far way")) * time.Millisecond
	return gs
}

// The sum of the shares of all VMs of all groups never exceeds the limit, whatever the
// demand, the delays and losses of messages, and whichever VMs aggregate, two at a time
// or none; neither during a partition of groups or VMs shorter than ForgetAfter, nor after it.
func TestGroupSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gs := randomGroups(rt)
		n := len(gs.vms)
		demand := make([]float64, n)
		aggregates := make([]bool, n)
		first := gs.aggregates
		gs.offered = func(i int) float64 { return demand[i] }
		for phase := range rapid.IntRange(1, 14).Draw(rt, "phases") {
			changing := phase > 0 && rapid.Bool().Draw(rt, "summers change")
			for i := range demand {
				demand[i] = rapid.SampledFrom([]float64{0, 1, 10, 100, 1000}).Draw(rt, "demand")
				aggregates[i] = rapid.Bool().Draw(rt, "aggregates")
			}
			gs.aggregates = func(i int) bool { return aggregates[i] && changing || !changing && first(i) }
			side := rapid.IntRange(0, n-1).Draw(rt, "cut")
			oneWay := rapid.Bool().Draw(rt, "one way")
			loss := rapid.IntRange(0, 40).Draw(rt, "loss")
			gs.blocked = func(from, to int) bool {
				if gs.rnd.IntN(100) < loss {
					return true
				}
				if side == 0 || oneWay && from >= side {
					return false
				}
				return (from < side) != (to < side)
			}
			tenths := rapid.IntRange(1, 200).Draw(rt, "tenths")
			if phase == 0 {
				tenths += int(settleTime / (100 * time.Millisecond))
				gs.blocked = func(int, int) bool { return gs.rnd.IntN(100) < loss }
			}
			for range tenths {
				gs.tick()
				if sum := gs.shareSum(); sum > 1+rounding {
					rt.Fatalf("shares sum to %v at %v", sum, gs.now)
				}
			}
			// Partitions and times without an aggregator are each shorter than
			// ForgetAfter. The next test covers longer ones.
			gs.blocked = func(int, int) bool { return false }
			gs.aggregates = first
			gs.run(time.Duration(rapid.IntRange(8, 20).Draw(rt, "healed")) * time.Second)
			if sum := gs.shareSum(); sum > 1+rounding {
				rt.Fatalf("shares sum to %v at %v", sum, gs.now)
			}
		}
	})
}

// If groups with k VMs in total are partitioned for longer than ForgetAfter, the remaining
// ones divide the limit, and the others keep at most an even share: the sum is at most
// 1 + k/N, less than 1.5.
func TestGroupSharesAreBoundedInALongPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gs := randomGroups(rt)
		n, groups := len(gs.vms), gs.group[len(gs.vms)-1]+1
		side := rapid.IntRange(1, groups-1).Draw(rt, "groups cut off")
		demand := make([]float64, n)
		k := 0
		for i := range demand {
			demand[i] = rapid.SampledFrom([]float64{0, 1, 10, 100, 1000}).Draw(rt, "demand")
			if gs.group[i] < side {
				k++
			}
		}
		gs.offered = func(i int) float64 { return demand[i] }
		gs.run(settleTime)
		gs.blocked = func(from, to int) bool { return (gs.group[from] < side) != (gs.group[to] < side) }
		minor := min(k, n-k)
		if 2*minor == n {
			minor = 0
		}
		for range 1000 {
			gs.tick()
			if sum := gs.shareSum(); sum > 1+float64(minor)/float64(n)+rounding {
				rt.Fatalf("shares sum to %v at %v with %d of %d partitioned", sum, gs.now, k, n)
			}
		}
		gs.blocked = func(int, int) bool { return false }
		gs.run(settleTime)
		if sum := gs.shareSum(); sum > 1+rounding {
			rt.Fatalf("shares sum to %v after the partition", sum)
		}
	})
}

// Two minutes after a team's searches have moved to another group, the team gets most of
// its limit there, and at most 5 % more than the limit.
func TestGroupSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	gs := newGroups([]int{3, 3, 3}, 1)
	hot := 0
	gs.offered = func(i int) float64 {
		if gs.group[i] == hot {
			return 100
		}
		return 1
	}
	for hot = range 3 {
		moved, waited := gs.now, time.Duration(0)
		for gs.now < moved+2*time.Minute {
			gs.tick()
			if waited == 0 && gs.vms[3*hot].mc.Share(team) >= 0.8/3 {
				waited = gs.now - moved
			}
		}
		t.Logf("80%% of the limit after %v", waited)
		for _, vm := range gs.vms {
			vm.admitted = 0
		}
		gs.run(20 * time.Second)
		admitted := 0
		for _, vm := range gs.vms {
			admitted += vm.admitted
		}
		rate := float64(admitted) / 20
		t.Logf("%.1f searches per second of 100; shares sum to %.3f", rate, gs.shareSum())
		is.True(rate >= 85 && rate <= 105)
	}
}
