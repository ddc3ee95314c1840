package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/mirror"
	"laburnumvane/core/rank"
)

// fleet simulates VMs in several data centres, each with a selector, and a store that serves some
// of them. Time is virtual; a step takes as long as its call.
type fleet struct {
	vms []*member
	now time.Duration
	// refused, dead and unpowered are by address: the store refuses the VM, calls to the VM
	// fail at once, calls to the VM time out.
	refused map[string]bool
	// silent are the VMs, by address, whose calls to the store get no answer.
	silent    map[string]bool
	dead      map[string]bool
	unpowered map[string]bool
	// bootedAt is when a VM gets its first copy, by address.
	bootedAt   map[string]time.Duration
	storeCalls int
	peerCalls  int
	// remoteCalls are the peer calls to a VM of another data centre.
	remoteCalls int
}

type member struct {
	vm       rank.VM
	selector *mirror.Selector
	dataAt   time.Duration
	next     time.Duration
	// origin is the VM whose call to the store yielded the data that this one has.
	origin string
	// callEnds is when a call to a silent store ends; 0 if none is in progress.
	callEnds time.Duration
	// source is the VM that this one follows; empty if it asks the store.
	source string
}

const (
	watchTime = time.Second
	// pollTime stands for a call that is answered as soon as the peer contacts the store
	// again.
	pollTime  = 50 * time.Millisecond
	shortTime = 5 * time.Millisecond
	// watchTimeout is how long a call to a silent store takes.
	watchTimeout = 1600 * time.Millisecond
	// peerWait is how long a peer holds a call that waits for changes.
	peerWait = 800 * time.Millisecond
	// unpoweredTime and unpoweredHurry are the time-outs of a call to a VM without power,
	// the second one for a caller whose data is older than a second.
	unpoweredTime  = 1200 * time.Millisecond
	unpoweredHurry = 500 * time.Millisecond
	// dataCentres is the number of data centres.
	dataCentres = 3
)

func newFleet(vmsPerDC int) *fleet {
	fl := &fleet{refused: map[string]bool{}, silent: map[string]bool{}, dead: map[string]bool{}, unpowered: map[string]bool{}, now: time.Second}
	var vms []rank.VM
	for p := range dataCentres {
		for i := range vmsPerDC {
			vms = append(vms, rank.VM{Addr: fmt.Sprintf("10.%d.0.%d:7000", p, i), DataCentre: fmt.Sprintf("dc%d", p)})
		}
	}
	for i, vm := range vms {
		se := mirror.NewSelector(mirror.SelectorConfig{Self: vm, Rand: rand.New(rand.NewPCG(uint64(i), 3))})
		se.SetPeers(vms)
		fl.vms = append(fl.vms, &member{vm: vm, selector: se, dataAt: fl.now, next: fl.now})
	}
	return fl
}

func (fl *fleet) find(addr string) *member {
	for _, mb := range fl.vms {
		if mb.vm.Addr == addr {
			return mb
		}
	}
	return nil
}

// ranked returns the VMs of a data centre in the order in which they watch the store.
func (fl *fleet) ranked(dataCentre int) []rank.VM {
	var local []rank.VM
	for _, mb := range fl.vms {
		if mb.vm.DataCentre == fmt.Sprintf("dc%d", dataCentre) {
			local = append(local, mb.vm)
		}
	}
	return rank.Order(local, "watch")
}

// refuseAll makes the store refuse all VMs.
func (fl *fleet) refuseAll() {
	for _, mb := range fl.vms {
		fl.refused[mb.vm.Addr] = true
	}
}

// run simulates the given span.
func (fl *fleet) run(span time.Duration) {
	for end := fl.now + span; fl.now < end; fl.now += shortTime {
		for _, mb := range fl.vms {
			if mb.callEnds > 0 && mb.callEnds <= fl.now {
				mb.callEnds = 0
				mb.selector.Done(fl.now, mirror.Step{From: mirror.FromStore}, mirror.Outcome{Failed: true})
			}
			if mb.next <= fl.now && fl.bootedAt[mb.vm.Addr] <= fl.now && !fl.dead[mb.vm.Addr] && !fl.unpowered[mb.vm.Addr] {
				fl.step(mb)
			}
		}
	}
}

func (fl *fleet) step(mb *member) {
	st := mb.selector.Next(fl.now, fl.now-mb.dataAt)
	oc := mirror.Outcome{}
	took := shortTime
	switch st.From {
	case mirror.FromStore:
		var ended bool
		if oc, took, ended = fl.callStore(mb, st); !ended {
			return
		}
	case mirror.FromPeer:
		fl.peerCalls++
		peer := fl.find(st.Addr)
		if peer.vm.DataCentre != mb.vm.DataCentre {
			fl.remoteCalls++
		}
		if fl.dead[st.Addr] {
			oc.Failed = true
			break
		}
		if fl.unpowered[st.Addr] {
			oc.Failed = true
			took = unpoweredTime
			if fl.now-mb.dataAt > time.Second {
				took = unpoweredHurry
			}
			break
		}
		if fl.bootedAt[st.Addr] > fl.now {
			oc.Empty = true
			break
		}
		peer.selector.Suggest(mb.vm.Addr, fl.now-mb.dataAt)
		oc.Age = fl.now - peer.dataAt
		oc.OwnData, oc.Follows = peer.origin == mb.vm.Addr, peer.source == mb.vm.Addr
		mb.source = st.Addr
		if oc.Age <= mirror.StaleAfter && !oc.OwnData && !oc.Follows {
			// The peer answers when it contacts the store again, or after its wait.
			took = peerWait
			if peer.next < fl.now+peerWait {
				took = max(pollTime, peer.next-fl.now)
			}
		}
		if peer.dataAt > mb.dataAt {
			mb.dataAt, mb.origin = peer.dataAt, peer.origin
		}
	case mirror.FromNone:
		took = st.Wait
	}
	mb.selector.Done(fl.now, st, oc)
	mb.next = fl.now + took
}

// callStore calls the store. A call to a silent store does not end yet; until its data is stale, the
// VM only waits for it.
func (fl *fleet) callStore(mb *member, st mirror.Step) (oc mirror.Outcome, took time.Duration, ended bool) {
	fl.storeCalls++
	mb.source = ""
	switch {
	case fl.silent[mb.vm.Addr]:
		mb.selector.Started(st)
		mb.callEnds = fl.now + watchTimeout
		mb.next = min(mb.callEnds, max(fl.now+shortTime, mb.dataAt+mirror.StaleAfter))
		return oc, 0, false
	case fl.refused[mb.vm.Addr]:
		return mirror.Outcome{Failed: true}, shortTime, true
	}
	mb.dataAt, mb.origin = fl.now, mb.vm.Addr
	return oc, watchTime, true
}

// oldest is the greatest age of the data of any VM that is not dead.
func (fl *fleet) oldest() time.Duration {
	var worst time.Duration
	for _, mb := range fl.vms {
		if !fl.dead[mb.vm.Addr] {
			worst = max(worst, fl.now-mb.dataAt)
		}
	}
	return worst
}

// youngest is the least age of the data of any VM.
func (fl *fleet) youngest() time.Duration {
	best := time.Hour
	for _, mb := range fl.vms {
		best = min(best, fl.now-mb.dataAt)
	}
	return best
}

// leader is the VM that asks the store in normal operation.
func (fl *fleet) leader() string {
	for _, mb := range fl.vms {
		if mb.selector.Next(fl.now, fl.now-mb.dataAt).From == mirror.FromStore {
			return mb.vm.Addr
		}
	}
	return ""
}
