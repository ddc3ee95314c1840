package mirror_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
	"laburnumvane/core/rank"
)

// In normal operation one VM asks the store, however many VMs there are.
func TestOneVMWatchesTheStore(t *testing.T) {
	for _, vmsPerDC := range []int{3, 30, 100} {
		is := is.New(t)
		fl := newFleet(vmsPerDC)
		fl.run(20 * time.Second)
		is.True(fl.storeCalls <= 21)
		is.True(fl.oldest() <= 4*time.Second)
	}
}

// Guards against treating a booting VM as dead. The fleet boots, and the VMs get their first
// copy one after the other within half a second. A VM that has one asks the others, which have
// none yet. When these counted as dead, they were not asked again for 3 s, and a dozen VMs
// watched the store meanwhile, each with five calls a second while entries were written.
func TestBootingPeersAreAskedAgain(t *testing.T) {
	is := is.New(t)
	fl := newFleet(8)
	fl.bootedAt = make(map[string]time.Duration)
	for i, mb := range fl.vms {
		fl.bootedAt[mb.vm.Addr] = fl.now + time.Duration(i*7%len(fl.vms))*20*time.Millisecond
		mb.dataAt = fl.bootedAt[mb.vm.Addr]
	}
	fl.run(4 * time.Second)
	is.True(fl.storeCalls <= 12)
	is.True(fl.oldest() <= 2*time.Second)
}

// Guards against a long gap after the death of the watching VM, which dies several times in a
// row here. A change made meanwhile must be in force on all VMs within seconds, so another VM
// has to watch by then.
func TestWatchingVMDies(t *testing.T) {
	is := is.New(t)
	fl := newFleet(5)
	fl.run(5 * time.Second)
	for range 4 {
		leader := fl.leader()
		is.True(leader != "")
		fl.dead[leader] = true
		died := fl.now
		fl.run(2500 * time.Millisecond)
		for _, mb := range fl.vms {
			is.True(fl.dead[mb.vm.Addr] || mb.dataAt > died)
		}
	}
}

// Guards against waiting for one unpowered VM after another. All VMs but two of the last ones
// in the order lose power at once and don't answer. A server that leaves then must get no new
// requests after 3 s from the two that remain.
func TestManyVMsLosePower(t *testing.T) {
	is := is.New(t)
	fl := newFleet(8)
	fl.run(5 * time.Second)
	local := fl.ranked(1)
	last := local[len(local)-2:]
	for _, mb := range fl.vms {
		fl.unpowered[mb.vm.Addr] = mb.vm != last[0] && mb.vm != last[1]
	}
	lost := fl.now
	fl.run(2500 * time.Millisecond)
	for _, vm := range last {
		is.True(fl.find(vm.Addr).dataAt > lost)
	}
}

// The store refuses a third of the VMs, the watching ones among them, and serves the rest. The
// refused VMs must get fresh data through the others.
func TestStoreRefusesSomeVMs(t *testing.T) {
	is := is.New(t)
	fl := newFleet(6)
	fl.run(5 * time.Second)
	for i, mb := range fl.vms {
		if i%3 == 0 || mb.selector.Next(fl.now, fl.now-mb.dataAt).From == mirror.FromStore {
			fl.refused[mb.vm.Addr] = true
		}
	}
	refusedAt := fl.now
	fl.run(3 * time.Second)
	for _, mb := range fl.vms {
		is.True(mb.dataAt > refusedAt)
	}
}

// Guards against a VM that asks no other VM while it waits for a silent store. Most VMs get no
// answer from the store, the watching one from the start of a watch. The change made at that moment
// must reach them through the VMs that the store serves. When a VM took no other step during a
// call, it learned of the change up to 3.8 s later, at the end of its second call.
func TestStoreIsSilentToMostVMs(t *testing.T) {
	for _, vmsPerDC := range []int{2, 6, 26} {
		var worst time.Duration
		for served := range min(vmsPerDC, 4) {
			fl := newFleet(vmsPerDC)
			fl.run(5 * time.Second)
			for p := range dataCentres {
				for i, vm := range fl.ranked(p) {
					fl.silent[vm.Addr] = i != served
				}
			}
			for calls := fl.storeCalls; fl.storeCalls == calls; {
				fl.run(shortTime)
			}
			silentAt := fl.now
			for fl.oldest() >= fl.now-silentAt && fl.now < silentAt+10*time.Second {
				fl.run(shortTime)
			}
			worst = max(worst, fl.now-silentAt)
		}
		t.Logf("%d VMs per data centre: the last VM learned of the change after %v", vmsPerDC, worst)
		is.New(t).True(worst <= 3*time.Second)
	}
}

// Guards against load on a store that refuses all VMs: a fleet that asked it all at once would
// use up its rate limits, which are paid for. When the store is back, all VMs must have fresh
// data soon.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	fl := newFleet(26)
	fl.run(5 * time.Second)
	fl.refuseAll()
	fl.storeCalls = 0
	const outage = 10 * time.Second
	fl.run(outage)
	t.Logf("%d calls of %d VMs in %v", fl.storeCalls, len(fl.vms), outage)
	is.True(fl.storeCalls < 12*len(fl.vms))
	clear(fl.refused)
	recoveredAt := fl.now
	fl.run(3 * time.Second)
	for _, mb := range fl.vms {
		is.True(mb.dataAt > recoveredAt)
	}
}

// The store serves only one VM of each data centre, none of the first three in the order. All
// others must get fresh data through it, however many they are.
func TestStoreServesOneVMPerDataCentre(t *testing.T) {
	for _, vmsPerDC := range []int{6, 26, 60} {
		is := is.New(t)
		fl := newFleet(vmsPerDC)
		fl.run(5 * time.Second)
		for p := range dataCentres {
			for i, vm := range fl.ranked(p) {
				fl.refused[vm.Addr] = i != 3
			}
		}
		refusedAt := fl.now
		fl.run(3 * time.Second)
		t.Logf("%d VMs: oldest data is %v old", len(fl.vms), fl.oldest())
		for _, mb := range fl.vms {
			is.True(mb.dataAt > refusedAt)
		}
	}
}

// The store serves only two VMs, both late in the order of one data centre. The others must
// get fresh data through them within the time for a change to be in force.
func TestStoreServesTwoVMs(t *testing.T) {
	for _, vmsPerDC := range []int{6, 26} {
		is := is.New(t)
		fl := newFleet(vmsPerDC)
		fl.run(5 * time.Second)
		fl.refuseAll()
		for _, vm := range fl.ranked(1)[3:5] {
			fl.refused[vm.Addr] = false
		}
		refusedAt := fl.now
		fl.run(4 * time.Second)
		t.Logf("%d VMs: oldest data is %v old", len(fl.vms), fl.oldest())
		for _, mb := range fl.vms {
			is.True(mb.dataAt > refusedAt)
		}
	}
}

// Guards against calls that grow with the size of the fleet during an outage of the store,
// here of ten seconds. No VM has fresh data, so each VM that is asked makes the caller ask the
// next one. The calls of a VM to the store and to other VMs must depend on the elapsed time
// only: when each VM asked all others, 78 VMs made 58 calls a second each, and all of them
// called the store.
func TestCallsAreBoundedInAStoreOutage(t *testing.T) {
	const outage = 10 * time.Second
	for _, vmsPerDC := range []int{3, 26, 65} {
		is := is.New(t)
		fl := newFleet(vmsPerDC)
		fl.run(5 * time.Second)
		fl.refuseAll()
		fl.storeCalls, fl.peerCalls, fl.remoteCalls = 0, 0, 0
		fl.run(outage)
		perVM := float64(fl.peerCalls) / float64(len(fl.vms)) / outage.Seconds()
		remotePerVM := float64(fl.remoteCalls) / float64(len(fl.vms)) / outage.Seconds()
		perDC := float64(fl.storeCalls) / dataCentres / outage.Seconds()
		t.Logf("%d VMs: per second: %.1f calls to peers by each VM, %.1f of them to other data centres, %.1f calls to the store by each data centre", len(fl.vms), perVM, remotePerVM, perDC)
		is.True(perVM <= 14)
		is.True(remotePerVM <= 4)
		is.True(perDC <= 5)
		clear(fl.refused)
		recoveredAt := fl.now
		fl.run(3 * time.Second)
		for _, mb := range fl.vms {
			is.True(mb.dataAt > recoveredAt)
		}
	}
}

// Guards against slow replication right after an outage. The store is back after some seconds,
// and servers write their entries again within two. The VM that tried last reaches the store
// first; the VM that normally watches is still in its retry wait, and the VMs ask each other
// for data that none of them receives. A change in the second second after the recovery must
// reach all VMs as fast as in normal operation.
func TestReplicationResumesSoonAfterAnOutage(t *testing.T) {
	is := is.New(t)
	var worst time.Duration
	for phase := range 30 {
		fl := newFleet(9)
		fl.run(5 * time.Second)
		fl.refuseAll()
		fl.run(4*time.Second + time.Duration(phase)*73*time.Millisecond)
		clear(fl.refused)
		fl.run(1500 * time.Millisecond)
		for range 10 {
			fl.run(100 * time.Millisecond)
			worst = max(worst, fl.oldest())
		}
	}
	t.Logf("oldest data was %v old", worst)
	is.True(worst <= 1500*time.Millisecond)
}

// Guards against two VMs that follow each other. The store refuses the VM that normally
// watches it, for ten seconds. Another VM is served, and the first one gets its data from
// there. When the first one's data counted as its own, both followed each other, and no VM
// asked the store until the data of all was stale: a server that left meanwhile still got
// requests after 3 s.
func TestNoVMFollowsItsOwnData(t *testing.T) {
	is := is.New(t)
	for _, vmsPerDC := range []int{3, 9} {
		fl := newFleet(vmsPerDC)
		fl.run(5 * time.Second)
		fl.refused[fl.leader()] = true
		fl.run(3 * time.Second)
		var withoutContact time.Duration
		for range 200 {
			fl.run(50 * time.Millisecond)
			withoutContact = max(withoutContact, fl.youngest())
		}
		t.Logf("%d VMs: no VM contacted the store for %v", len(fl.vms), withoutContact)
		is.True(withoutContact <= watchTime+100*time.Millisecond)
	}
}

// A VM whose store stops responding before it has returned the list of VMs knows only its seeds. It
// must ask them; otherwise its copy stays stale.
func TestSeedsAreAskedWhileNoVMIsListed(t *testing.T) {
	is := is.New(t)
	const seed = "10.0.0.2:7000"
	now, age := time.Minute, mirror.StaleAfter+time.Second
	se := mirror.NewSelector(mirror.SelectorConfig{Self: rank.VM{Addr: "10.0.0.1:7000", DataCentre: "a"}, Rand: rand.New(rand.NewPCG(1, 1))})
	se.SetUnlisted([]string{seed})
	st := se.Next(now, age)
	is.Equal(st.From, mirror.FromStore)
	se.Started(st)
	st = se.Next(now, age)
	is.Equal(st, mirror.Step{From: mirror.FromPeer, Addr: seed})
	se.Done(now, st, mirror.Outcome{Age: age})
	is.Equal(se.Next(now, age).From, mirror.FromNone) // the seed has stale data too
	se.SetPeers([]rank.VM{{Addr: "10.0.0.3:7000", DataCentre: "b"}})
	is.Equal(se.Next(now+time.Second, age).Addr, "10.0.0.3:7000")
}
