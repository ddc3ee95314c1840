package spread

import (
	"slices"
	"time"

	"laburnumvane/core/rank"
)

// gossip is what the machine does with peers.
type gossip struct {
	compareAt time.Duration
	relayAt   time.Duration
	// relayTurn goes round the other data centres.
	relayTurn int
	// pullAt is when a difference with pullFrom is repaired; never if there
	// is none.
	pullAt   time.Duration
	pullFrom rank.VM
	theirs   Digest
	pulling  bool
	// boot counts the answers of peers that are still to come before this VM
	// turns to the service.
	boot int
}

func (gs *gossip) next() time.Duration {
	return min(gs.compareAt, gs.relayAt, gs.pullAt)
}

// booting tells whether peers may still have what this VM lacks.
func (gs *gossip) booting() bool {
	return gs.boot > 0 || gs.pulling
}

// askPeers makes the comparisons and pulls whose time has come.
func (ma *Machine) askPeers() {
	gs := &ma.gossip
	if !ma.listed {
		gs.compareAt, gs.relayAt = never, never
		return
	}
	if gs.compareAt <= ma.now {
		gs.compareAt = ma.now + ma.jittered(ma.pace.CompareEvery)
		ma.compareNear()
	}
	if gs.relayAt <= ma.now {
		gs.relayAt = ma.now + ma.jittered(ma.pace.CompareEvery)
		ma.compareFar()
	}
	if gs.pullAt <= ma.now {
		gs.pullAt = never
		ma.pull()
	}
}

// startBoot compares with several peers at once. The highest of what they hold
// wins, as always.
func (ma *Machine) startBoot() {
	gs := &ma.gossip
	gs.compareAt = ma.now + ma.jittered(ma.pace.CompareEvery)
	gs.relayAt = ma.now + ma.jittered(ma.pace.CompareEvery)
	peers := ma.bootPeers()
	gs.boot = len(peers)
	for _, vm := range peers {
		ma.compare(vm)
	}
}

// bootPeers draws peers of this data centre, and from others where it has too
// few.
func (ma *Machine) bootPeers() []rank.VM {
	self := ma.cfg.Self
	near := ma.shuffled(ma.table.Members(self.DataCentre))
	var far []rank.VM
	for _, dc := range ma.table.DataCentres() {
		if dc != self.DataCentre {
			far = append(far, ma.table.Members(dc)...)
		}
	}
	peers := slices.Concat(near, ma.shuffled(far))
	return peers[:min(len(peers), ma.pace.BootPeers)]
}

// shuffled draws an order of VMs, this one left out.
func (ma *Machine) shuffled(vms []rank.VM) []rank.VM {
	out := make([]rank.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.Addr != ma.cfg.Self.Addr {
			out = append(out, vm)
		}
	}
	ma.cfg.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// compareNear compares with a random VM of the data centre: whoever lacks
// something meets a VM that has it within a few rounds, however many VMs there
// are.
func (ma *Machine) compareNear() {
	if vm, ok := ma.drawn(ma.table.Members(ma.cfg.Self.DataCentre)); ok {
		ma.compare(vm)
	}
}

// compareFar compares with a VM of the next other data centre, if this VM is
// ranked. Any VM there will do: it need not know of its own rank.
func (ma *Machine) compareFar() {
	if !ma.ranked() {
		return
	}
	others := ma.table.DataCentres()
	for range others {
		gs := &ma.gossip
		gs.relayTurn++
		dc := others[gs.relayTurn%len(others)]
		if dc == ma.cfg.Self.DataCentre {
			continue
		}
		if vm, ok := ma.drawn(ma.table.Members(dc)); ok {
			ma.compare(vm)
		}
		return
	}
}

// drawn draws a VM that is not this one.
func (ma *Machine) drawn(vms []rank.VM) (rank.VM, bool) {
	if len(vms) == 0 || len(vms) == 1 && vms[0].Addr == ma.cfg.Self.Addr {
		return rank.VM{}, false
	}
	for {
		vm := vms[ma.cfg.Rand.IntN(len(vms))]
		if vm.Addr != ma.cfg.Self.Addr {
			return vm, true
		}
	}
}

func (ma *Machine) compare(to rank.VM) {
	id := ma.newCall(call{kind: callCompare, to: to}, ma.pace.PeerTimeout)
	ma.act(Compare{Call: id, To: to, Digest: ma.digest})
}

func (ma *Machine) takeCompared(ev Compared) {
	ca, ok := ma.endCall(ev.Call)
	if !ok {
		return
	}
	ma.endBoot()
	ma.differ(ca.to, ev.Digest)
}

func (ma *Machine) compareFailed(call) {
	ma.endBoot()
}

func (ma *Machine) endBoot() {
	ma.gossip.boot = max(0, ma.gossip.boot-1)
}

// takeBeat takes a peer's digest that came unasked.
func (ma *Machine) takeBeat(ev Beat) {
	ma.differ(ev.From, ev.Digest)
}

// differ plans a pull from a peer that seems to have more. The one with the
// lower sum pulls; with equal sums both do.
func (ma *Machine) differ(from rank.VM, theirs Digest) {
	gs := &ma.gossip
	if theirs.Hash == ma.digest.Hash || theirs.Sum < ma.digest.Sum || gs.pulling {
		return
	}
	if gs.pullAt != never && theirs.Sum <= gs.theirs.Sum {
		return
	}
	gs.pullFrom, gs.theirs = from, theirs
	if len(ma.held) == 0 {
		gs.pullAt = ma.now
		return
	}
	gs.pullAt = min(gs.pullAt, ma.now+ma.jittered(ma.pace.CompareGrace))
}

// pull repairs the difference, unless a push has done so meanwhile.
func (ma *Machine) pull() {
	gs := &ma.gossip
	if gs.theirs.Hash == ma.digest.Hash || gs.theirs.Sum < ma.digest.Sum {
		return
	}
	gs.pulling = true
	id := ma.newCall(call{kind: callPull, to: gs.pullFrom}, ma.pace.PullTimeout)
	ma.act(Pull{Call: id, To: gs.pullFrom, Held: ma.Held()})
}

func (ma *Machine) takePulled(ev Pulled) {
	ca, awaited := ma.endCall(ev.Call)
	near := !awaited || ca.to.DataCentre == ma.cfg.Self.DataCentre
	ma.learnAll(ev.Updates, originOf(near, originPull, originFar))
	if !awaited {
		return
	}
	ma.gossip.pulling = false
	if ev.More && len(ev.Updates) > 0 {
		ma.gossip.pullAt = ma.now
	}
}
