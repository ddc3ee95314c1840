package spread

import (
	"slices"
	"time"

	"laburnumvane/core/rank"
)

// gossip is the state of comparisons with peers and pulls from them.
type gossip struct {
	localCompareAt  time.Duration
	remoteCompareAt time.Duration
	// remoteTurn selects the next other data centre, round robin.
	remoteTurn int
	// pullAt is when a difference with pullFrom is repaired; never if there is none.
	pullAt     time.Duration
	pullFrom   rank.VM
	peerDigest Digest
	pulling    bool
	// bootCompares counts the pending boot comparisons. This VM calls the service only after
	// they have ended.
	bootCompares int
}

func (gs *gossip) next() time.Duration {
	return min(gs.localCompareAt, gs.remoteCompareAt, gs.pullAt)
}

// booting reports whether peers may still deliver updates that this VM lacks.
func (gs *gossip) booting() bool {
	return gs.bootCompares > 0 || gs.pulling
}

// askPeers makes the comparisons and pulls that are due.
func (ma *Machine) askPeers() {
	gs := &ma.gossip
	if !ma.hasMembers {
		gs.localCompareAt, gs.remoteCompareAt = never, never
		return
	}
	if gs.localCompareAt <= ma.now {
		gs.localCompareAt = ma.now + ma.jittered(ma.pace.CompareEvery)
		ma.compareLocal()
	}
	if gs.remoteCompareAt <= ma.now {
		gs.remoteCompareAt = ma.now + ma.jittered(ma.pace.CompareEvery)
		ma.compareRemote()
	}
	if gs.pullAt <= ma.now {
		gs.pullAt = never
		ma.pull()
	}
}

// startBoot compares with several peers at once. Of the updates that they hold, the highest
// revision wins, as always.
func (ma *Machine) startBoot() {
	gs := &ma.gossip
	gs.localCompareAt = ma.now + ma.jittered(ma.pace.CompareEvery)
	gs.remoteCompareAt = ma.now + ma.jittered(ma.pace.CompareEvery)
	peers := ma.bootPeers()
	gs.bootCompares = len(peers)
	for _, vm := range peers {
		ma.compare(vm)
	}
}

// bootPeers picks random peers of this data centre, and of others if this one has too few.
func (ma *Machine) bootPeers() []rank.VM {
	self := ma.cfg.Self
	local := ma.shuffled(ma.table.VMs(self.DataCentre))
	var remote []rank.VM
	for _, dc := range ma.table.DataCentres() {
		if dc != self.DataCentre {
			remote = append(remote, ma.table.VMs(dc)...)
		}
	}
	peers := slices.Concat(local, ma.shuffled(remote))
	return peers[:min(len(peers), ma.pace.BootPeers)]
}

// shuffled returns the VMs without this one, in random order.
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

// compareLocal compares with a random VM of the data centre. A VM that lacks an update meets one
// that has it within a few rounds, however many VMs there are.
func (ma *Machine) compareLocal() {
	if vm, ok := ma.randomPeer(ma.table.VMs(ma.cfg.Self.DataCentre)); ok {
		ma.compare(vm)
	}
}

// compareRemote compares with a random VM of the next other data centre, if this VM watches the
// service. The other VM need not be a watching one.
func (ma *Machine) compareRemote() {
	if !ma.isWatcher() {
		return
	}
	others := ma.table.DataCentres()
	for range others {
		gs := &ma.gossip
		gs.remoteTurn++
		dc := others[gs.remoteTurn%len(others)]
		if dc == ma.cfg.Self.DataCentre {
			continue
		}
		if vm, ok := ma.randomPeer(ma.table.VMs(dc)); ok {
			ma.compare(vm)
		}
		return
	}
}

// randomPeer picks a random VM other than this one; ok is false if there is none.
func (ma *Machine) randomPeer(vms []rank.VM) (rank.VM, bool) {
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
	ma.emit(Compare{Call: id, To: to, Digest: ma.digest})
}

func (ma *Machine) handleCompared(ev Compared) {
	ca, ok := ma.endCall(ev.Call)
	if !ok {
		return
	}
	ma.endBootCompare()
	ma.planPull(ca.to, ev.Digest)
}

func (ma *Machine) compareFailed(call) {
	ma.endBootCompare()
}

func (ma *Machine) endBootCompare() {
	ma.gossip.bootCompares = max(0, ma.gossip.bootCompares-1)
}

// handleBeat handles a peer's digest that this VM did not ask for.
func (ma *Machine) handlePeerDigest(ev PeerDigest) {
	ma.planPull(ev.From, ev.Digest)
}

// planPull schedules a pull from a peer that seems to be ahead. The VM with the lower sum pulls;
// with equal sums both do.
func (ma *Machine) planPull(from rank.VM, digest Digest) {
	gs := &ma.gossip
	if digest.Hash == ma.digest.Hash || digest.Sum < ma.digest.Sum || gs.pulling {
		return
	}
	if gs.pullAt != never && digest.Sum <= gs.peerDigest.Sum {
		return
	}
	gs.pullFrom, gs.peerDigest = from, digest
	if len(ma.held) == 0 {
		gs.pullAt = ma.now
		return
	}
	gs.pullAt = min(gs.pullAt, ma.now+ma.jittered(ma.pace.CompareGrace))
}

// pull requests the missing updates, unless a push has delivered them meanwhile.
func (ma *Machine) pull() {
	gs := &ma.gossip
	if gs.peerDigest.Hash == ma.digest.Hash || gs.peerDigest.Sum < ma.digest.Sum {
		return
	}
	gs.pulling = true
	id := ma.newCall(call{kind: callPull, to: gs.pullFrom}, ma.pace.PullTimeout)
	ma.emit(Pull{Call: id, To: gs.pullFrom, Held: ma.Held()})
}

func (ma *Machine) handlePulled(ev Pulled) {
	ca, awaited := ma.endCall(ev.Call)
	local := !awaited || ca.to.DataCentre == ma.cfg.Self.DataCentre
	ma.mergeAll(ev.Updates, originOf(local, originPull, originRemote))
	if !awaited {
		return
	}
	ma.gossip.pulling = false
	if ev.More && len(ev.Updates) > 0 {
		ma.gossip.pullAt = ma.now
	}
}
