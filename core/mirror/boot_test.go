package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
	"laburnumvane/core/rank"
)

// Guards against a long wait for seeds that don't answer. A booting VM gets requests from
// clients at once and refuses them until it has a copy. The seeds lost power together with it,
// so each call to one hangs, while the store is up. The store must be asked within a few round
// trips, not after a seed's time-out.
func TestBootWithUnpoweredSeeds(t *testing.T) {
	cases := []struct {
		name  string
		seeds []string
		first bool
		most  time.Duration
	}{
		{"no seeds", nil, false, 0},
		{"a seed itself", []string{"self", "b"}, false, 0},
		{"others", []string{"b", "c"}, false, 50 * time.Millisecond},
		// When the whole fleet starts, no client is waiting yet, so the store is spared.
		{"first start", []string{"b", "c"}, true, 1250 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			bo := newBoot(tc.seeds, tc.first)
			now := time.Duration(0)
			for st := bo.Next(now); st.From != mirror.FromStore; st = bo.Next(now) {
				// A call to a seed without power takes the whole time-out.
				is.True(st.Wait > 0)
				now += st.Wait
				bo.Failed(now, st, mirror.Outcome{Failed: true})
			}
			is.True(now <= tc.most)
		})
	}
}

// Guards against too many calls to a store that refuses this VM, here for a minute. The seeds
// are asked all the time and the store a bounded number of times: a fleet that boots in this
// state must not use up the rate limits of the VMs that are served.
func TestBootRefusedByStore(t *testing.T) {
	is := is.New(t)
	bo := newBoot([]string{"b", "c"}, false)
	asked := map[mirror.From]int{}
	const minute = time.Minute
	for now := time.Duration(0); now < minute; {
		st := bo.Next(now)
		asked[st.From]++
		// Refusals come within a round trip.
		now += max(st.Wait, 2*time.Millisecond)
		bo.Failed(now, st, mirror.Outcome{Failed: true})
	}
	is.True(asked[mirror.FromStore] <= 45)
	is.True(asked[mirror.FromPeer] >= 60)
}

func newBoot(seeds []string, first bool) *mirror.Boot {
	return mirror.NewBoot(mirror.BootConfig{
		Self: "self", Seeds: seeds, FirstStart: first, Rand: rand.New(rand.NewPCG(1, 2)),
	})
}

// bootFleet simulates a fleet that starts within a quarter of a second and knows three seeds.
// Each copy occupies the link of the VM that gives it, or that of the store.
type bootFleet struct {
	// unpowered is set if a VM that has not started yet does not answer at all, because its
	// machine has no power; otherwise its machine refuses connections.
	unpowered bool
	vms       []*bootVM
	byAddr    map[string]*bootVM
	storeFree time.Duration
	calls     int
}

type bootVM struct {
	addr    string
	startAt time.Duration
	large   bool
	boot    *mirror.Boot
	limiter mirror.CopyLimiter
	// announced is set unless the VM still has to announce its copy to the seeds.
	announced bool
	// next is when the VM acts again, copyAt when it has its copy, linkFree when its link is
	// idle.
	next, copyAt, linkFree time.Duration
}

const (
	// peerCopy is the time for 23 kB at 20 Mbit/s. storeCopy is the time for 450 kB on the
	// store's gigabit link; smallCopy and largeCopy are the same on the links of a small and
	// of a large VM.
	peerCopy  = 9 * time.Millisecond
	storeCopy = 3600 * time.Microsecond
	smallCopy = 180 * time.Millisecond
	largeCopy = 18 * time.Millisecond
	// storeList and smallList are the same for the 45 kB list of all VMs.
	storeList = 360 * time.Microsecond
	smallList = 18 * time.Millisecond
	smallLink = 20
	largeLink = 200
	// One VM in largeEvery is large; no seed is.
	largeEvery   = 9
	networkDelay = 2 * time.Millisecond
	never        = time.Hour
)

func newBootFleet(n int, seed uint64) *bootFleet {
	bf := &bootFleet{byAddr: make(map[string]*bootVM)}
	rnd := rand.New(rand.NewPCG(seed, 5))
	seeds := []string{"vm0", "vm1", "vm2"}
	for i := range n {
		vm := &bootVM{addr: fmt.Sprintf("vm%d", i), large: i%largeEvery == largeEvery-1, startAt: time.Duration(rnd.Int64N(int64(250 * time.Millisecond))), copyAt: never}
		vm.next = vm.startAt
		vm.start(seeds, seed, i)
		bf.vms = append(bf.vms, vm)
		bf.byAddr[vm.addr] = vm
	}
	return bf
}

// start starts a VM's boot.
func (vm *bootVM) start(seeds []string, seed uint64, i int) {
	link := float64(smallLink)
	if vm.large {
		link = largeLink
	}
	vm.next = vm.startAt
	vm.boot = mirror.NewBoot(mirror.BootConfig{
		Self: vm.addr, Seeds: seeds, LinkMbps: link, Rand: rand.New(rand.NewPCG(seed, uint64(i))), Now: vm.startAt,
	})
}

// list answers a VM's request for the list of VMs.
func (bf *bootFleet) list(now time.Duration, vm *bootVM) {
	bf.calls++
	bf.storeFree = max(bf.storeFree, now) + storeList
	vm.next = max(bf.storeFree, now+smallList) + networkDelay
	var members []mirror.Member
	for _, other := range bf.vms {
		capacity := 0.2
		if other.large {
			capacity = 0.8
		}
		members = append(members, mirror.Member{VM: other.rankVM(), Capacity: capacity})
	}
	readers, own := mirror.Readers(vm.rankVM(), members)
	vm.boot.SetReaders(vm.next, readers, own)
}

// bootDataCentres is the number of data centres of the booting fleet.
const bootDataCentres = 7

func (vm *bootVM) rankVM() rank.VM {
	var n int
	if _, err := fmt.Sscanf(vm.addr, "vm%d", &n); err != nil {
		panic(err)
	}
	return rank.VM{Addr: vm.addr, DataCentre: fmt.Sprint(n % bootDataCentres)}
}

func (bf *bootFleet) run(until time.Duration) {
	for now := time.Duration(0); now < until; now += time.Millisecond {
		for _, vm := range bf.vms {
			switch {
			case vm.next > now:
			case vm.copyAt > now:
				bf.step(now, vm)
			case !vm.announced:
				bf.announce(now, vm)
			}
		}
	}
}

func (bf *bootFleet) step(now time.Duration, vm *bootVM) {
	st := vm.boot.Next(now)
	switch st.From {
	case mirror.FromStore:
		bf.calls++
		bf.storeFree = max(bf.storeFree, now) + storeCopy
		link := smallCopy
		if vm.large {
			link = largeCopy
		}
		vm.copyAt = max(bf.storeFree, now+link) + networkDelay
		vm.next = vm.copyAt
		vm.announced = !vm.boot.Announces(st)
	case mirror.FromPeer:
		bf.ask(now, vm, st)
	case mirror.FromList:
		bf.list(now, vm)
	case mirror.FromNone:
		vm.next = now + max(st.Wait, time.Millisecond)
	}
}

// announce tells the seeds that a VM has a copy.
func (bf *bootFleet) announce(now time.Duration, vm *bootVM) {
	vm.announced = true
	for _, addr := range []string{"vm0", "vm1", "vm2"} {
		if seed := bf.byAddr[addr]; seed.startAt <= now && seed != vm {
			seed.limiter.AddHolder(now, vm.addr)
			seed.boot.AddPeer(now, vm.addr)
		}
	}
}

func (bf *bootFleet) ask(now time.Duration, vm *bootVM, st mirror.Step) {
	peer := bf.byAddr[st.Addr]
	vm.next = now + networkDelay
	if peer.startAt > now && bf.unpowered {
		vm.next = now + st.Wait
		vm.boot.Failed(vm.next, st, mirror.Outcome{Failed: true})
		return
	}
	if peer.startAt > now {
		vm.boot.Failed(vm.next, st, mirror.Outcome{Failed: true, Refused: true})
		return
	}
	if peer.copyAt > now {
		vm.boot.Failed(vm.next, st, mirror.Outcome{Empty: true, Holders: peer.limiter.Holders(now, vm.addr)})
		return
	}
	give, others := peer.limiter.Allow(now, vm.addr)
	if !give {
		vm.boot.Failed(vm.next, st, mirror.Outcome{Empty: true, Holders: others})
		return
	}
	peer.linkFree = max(peer.linkFree, now) + peerCopy
	if peer.linkFree > now+st.Wait {
		vm.next = now + st.Wait
		vm.boot.Failed(vm.next, st, mirror.Outcome{Failed: true})
		return
	}
	vm.copyAt = peer.linkFree + networkDelay
	vm.next = vm.copyAt
}

// Guards against all VMs reading the store when they start within a quarter of a second after
// a power failure; until a VM has a copy of the store it refuses its clients. With a large
// configuration, each read takes 4 ms on the store's link and 180 ms on a small VM's: if all
// of 195 VMs read it, the last one waits for 0.7 s, and each read is paid for. The seeds are
// small and have no copy to give for a long time. So a few other VMs read the store too and
// announce their copies to the seeds, and copies spread from VM to VM.
func TestFleetBootsTogether(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{9, 58, 195} {
		for seed := range uint64(5) {
			bf := newBootFleet(n, seed)
			bf.run(2 * time.Second)
			var waits []time.Duration
			for _, vm := range bf.vms {
				waits = append(waits, vm.copyAt-vm.startAt)
			}
			slices.Sort(waits)
			t.Logf("%d VMs: median %v, last %v, %d calls to the store", n, waits[n/2], waits[n-1], bf.calls)
			is.True(waits[n/2] <= 250*time.Millisecond)
			is.True(waits[n-1] <= 450*time.Millisecond)
			is.True(bf.calls <= 3+n/6)
		}
	}
}

// Guards against all VMs reading the store when power returns within half a second and the
// seeds start last. Until then no VM knows another one, and a VM without power does not
// answer. When each VM read the store for itself, the store's link was occupied for 0.7 s, and
// half of the VMs refused their clients for 0.4 s. The list of VMs is a tenth of the size of a
// copy, and from it follows which VMs read the store for the others.
func TestFleetBootsBeforeItsSeeds(t *testing.T) {
	is := is.New(t)
	const n, seedStart = 195, 450 * time.Millisecond
	// newBootFleet spreads the starts over a quarter of a second.
	const stretch = float64(seedStart) / float64(250*time.Millisecond)
	for seed := range uint64(5) {
		bf := newBootFleet(n, seed)
		bf.unpowered = true
		for i, vm := range bf.vms {
			vm.startAt = time.Duration(stretch * float64(vm.startAt))
			if i < 3 {
				vm.startAt = seedStart
			}
			vm.start([]string{"vm0", "vm1", "vm2"}, seed, i)
		}
		bf.run(3 * time.Second)
		var waits []time.Duration
		for _, vm := range bf.vms {
			waits = append(waits, vm.copyAt-vm.startAt)
		}
		slices.Sort(waits)
		t.Logf("median %v, 9 in 10 %v, last %v, %d calls to the store", waits[n/2], waits[n*9/10], waits[n-1], bf.calls)
		is.True(waits[n/2] <= 200*time.Millisecond)
		is.True(waits[n*9/10] <= 350*time.Millisecond)
		is.True(waits[n-1] <= 600*time.Millisecond)
		is.True(bf.calls <= n+n/3)
	}
}

func TestReaders(t *testing.T) {
	self := rank.VM{Addr: "self", DataCentre: "east"}
	member := func(addr, dc string, capacity float64) mirror.Member {
		return mirror.Member{VM: rank.VM{Addr: addr, DataCentre: dc}, Capacity: capacity}
	}
	cases := []struct {
		name    string
		members []mirror.Member
		readers int
		own     bool
	}{
		{"empty list", nil, 0, false},
		{"this VM alone", []mirror.Member{{VM: self, Capacity: 1}}, 0, true},
		{"a larger VM", []mirror.Member{{VM: self, Capacity: 1}, member("large", "east", 2)}, 1, false},
		{"a larger VM in another data centre", []mirror.Member{{VM: self, Capacity: 1}, member("large", "west", 2)}, 0, true},
		{"this VM is not listed", []mirror.Member{member("other", "east", 1)}, 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			readers, own := mirror.Readers(self, tc.members)
			is.Equal(len(readers), tc.readers)
			is.Equal(own, tc.own)
		})
	}
}
