package share_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"laburnumvane/core/share"
)

const (
	beat  = time.Second
	fleet = 9
	team  = "wash"
)

// mail is a demand on its way.
type mail struct {
	at      time.Duration
	from    int
	to      int
	demands []share.Demand
}

// fleetOf is VMs that tell each other their demand once a second.
type fleetOf struct {
	now     time.Duration
	rnd     *rand.Rand
	vms     []*oneVM
	mails   []mail
	maxWay  time.Duration
	cut     func(from, to int) bool
	limit   share.Limit
	offered func(vm int) float64
	cfg     share.Config
}

type oneVM struct {
	id      share.VM
	mc      *share.Machine
	bucket  *share.Bucket
	due     float64
	admits  int
	refuses int
	down    bool
}

func newFleet(n int, limit share.Limit, seed uint64) *fleetOf {
	return fleetWith(share.Config{}, n, limit, seed)
}

func fleetWith(cfg share.Config, n int, limit share.Limit, seed uint64) *fleetOf {
	fl := &fleetOf{cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 3)), limit: limit, maxWay: 100 * time.Millisecond}
	fl.cut = func(int, int) bool { return false }
	for range n {
		fl.boot()
	}
	return fl
}

func (fl *fleetOf) boot() {
	id := share.VM{Addr: "10.0.0." + strconv.Itoa(len(fl.vms)), Incarnation: 1}
	cfg := fl.cfg
	cfg.Self = id
	vm := &oneVM{id: id, mc: share.New(cfg)}
	vm.bucket = vm.mc.Limit(fl.now, team, fl.limit)
	fl.vms = append(fl.vms, vm)
	fl.list()
}

// list is the VM list: all know of all.
func (fl *fleetOf) list() {
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

// tick is a tenth of a second: searches, mail, and each VM's beat at its own
// tenth.
func (fl *fleetOf) tick() {
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
			fl.tell(i)
			vm.mc.Step(fl.now)
		}
	}
}

func (vm *oneVM) offer(now time.Duration, n float64) {
	for vm.due += n; vm.due >= 1; vm.due-- {
		if re, _ := vm.bucket.Take(now); re != "" {
			vm.refuses++
			continue
		}
		vm.admits++
		vm.bucket.Give()
	}
}

func (fl *fleetOf) tell(i int) {
	demands := slices.Clone(fl.vms[i].mc.Outgoing(fl.now))
	for j := range fl.vms {
		if j == i || fl.cut(i, j) {
			continue
		}
		way := time.Duration(fl.rnd.Int64N(int64(fl.maxWay) + 1))
		fl.mails = append(fl.mails, mail{at: fl.now + way, from: i, to: j, demands: demands})
	}
}

func (fl *fleetOf) deliver() {
	left := fl.mails[:0]
	for _, ma := range fl.mails {
		if ma.at > fl.now {
			left = append(left, ma)
			continue
		}
		if !fl.vms[ma.to].down {
			fl.vms[ma.to].mc.Incoming(fl.now, ma.demands)
		}
	}
	fl.mails = left
}

func (fl *fleetOf) run(d time.Duration) {
	for until := fl.now + d; fl.now < until; {
		fl.tick()
	}
}

// sum is the parts of all VMs that are up, together.
func (fl *fleetOf) sum() float64 {
	total := 0.0
	for _, vm := range fl.vms {
		if !vm.down {
			total += vm.mc.Share(team)
		}
	}
	return total
}

// admitted is the searches that started since the last call.
func (fl *fleetOf) admitted() int {
	n := 0
	for _, vm := range fl.vms {
		n += vm.admits
		vm.admits = 0
	}
	return n
}
