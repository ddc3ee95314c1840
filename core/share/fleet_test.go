package share_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"laburnumvane/core/share"
)

const (
	heartbeat = time.Second
	fleetSize = 9
	team      = "wash"
)

// message is a message in transit between two VMs.
type message struct {
	at      time.Duration
	from    int
	to      int
	demands []share.Demand
}

// testFleet is a number of VMs that announce their demands to each other once a second.
type testFleet struct {
	now      time.Duration
	rnd      *rand.Rand
	vms      []*testVM
	messages []message
	maxDelay time.Duration
	blocked  func(from, to int) bool
	limit    share.Limit
	offered  func(vm int) float64
	cfg      share.Config
}

type testVM struct {
	id       share.VM
	mc       *share.Machine
	bucket   *share.Bucket
	pending  float64
	admitted int
	refused  int
	down     bool
}

func newFleet(n int, limit share.Limit, seed uint64) *testFleet {
	return newFleetWith(share.Config{}, n, limit, seed)
}

func newFleetWith(cfg share.Config, n int, limit share.Limit, seed uint64) *testFleet {
	fl := &testFleet{cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 3)), limit: limit, maxDelay: 100 * time.Millisecond}
	fl.blocked = func(int, int) bool { return false }
	for range n {
		fl.addVM()
	}
	return fl
}

func (fl *testFleet) addVM() {
	id := share.VM{Addr: "10.0.0." + strconv.Itoa(len(fl.vms)), Incarnation: 1}
	cfg := fl.cfg
	cfg.Self = id
	vm := &testVM{id: id, mc: share.New(cfg)}
	vm.bucket = vm.mc.Limit(fl.now, team, fl.limit)
	fl.vms = append(fl.vms, vm)
	fl.updateMembers()
}

// updateMembers gives every VM the list of all others.
func (fl *testFleet) updateMembers() {
	for _, vm := range fl.vms {
		var others []share.VM
		for _, other := range fl.vms {
			if other != vm {
				others = append(others, other.id)
			}
		}
		vm.mc.Members(fl.now, others)
	}
}

// tick simulates a tenth of a second: searches, messages, and the heartbeats of those VMs
// whose turn it is within the second.
func (fl *testFleet) tick() {
	const step = 100 * time.Millisecond
	fl.now += step
	fl.deliver()
	for i, vm := range fl.vms {
		if vm.down {
			continue
		}
		if fl.offered != nil {
			vm.offer(fl.now, fl.offered(i)*step.Seconds())
		}
		if int(fl.now/step)%10 == i%10 {
			fl.sendDemands(i)
			vm.mc.Step(fl.now)
		}
	}
}

func (vm *testVM) offer(now time.Duration, n float64) {
	for vm.pending += n; vm.pending >= 1; vm.pending-- {
		if re, _ := vm.bucket.Take(now); re != "" {
			vm.refused++
			continue
		}
		vm.admitted++
		vm.bucket.Release()
	}
}

func (fl *testFleet) sendDemands(i int) {
	demands := slices.Clone(fl.vms[i].mc.Outgoing(fl.now))
	for j := range fl.vms {
		if j == i || fl.blocked(i, j) {
			continue
		}
		delay := time.Duration(fl.rnd.Int64N(int64(fl.maxDelay) + 1))
		fl.messages = append(fl.messages, message{at: fl.now + delay, from: i, to: j, demands: demands})
	}
}

func (fl *testFleet) deliver() {
	left := fl.messages[:0]
	for _, msg := range fl.messages {
		if msg.at > fl.now {
			left = append(left, msg)
			continue
		}
		if !fl.vms[msg.to].down {
			fl.vms[msg.to].mc.Incoming(fl.now, msg.demands)
		}
	}
	fl.messages = left
}

func (fl *testFleet) run(d time.Duration) {
	for until := fl.now + d; fl.now < until; {
		fl.tick()
	}
}

// shareSum is the sum of the shares of all VMs that are up.
func (fl *testFleet) shareSum() float64 {
	total := 0.0
	for _, vm := range fl.vms {
		if !vm.down {
			total += vm.mc.Share(team)
		}
	}
	return total
}

// takeAdmitted returns the number of searches that started since the last call.
func (fl *testFleet) takeAdmitted() int {
	n := 0
	for _, vm := range fl.vms {
		n += vm.admitted
		vm.admitted = 0
	}
	return n
}
