package member

import (
	"slices"
	"time"
)

// relayRetransmits is the number of a relay's messages that an item is piggybacked on. It can be
// small because the other relay sends the item too and the digest repair covers the rest.
const relayRetransmits = 3

// repairBeatFactor is the factor by which a relay sends beats more often while tables differ.
const repairBeatFactor = 4

// relay is the state of this VM's beats to another data centre.
type relay struct {
	to   string
	next time.Duration
	rank int
	// failures counts failed beats: each selects the next VM of the other data centre.
	failures int
	peer     string
	updates  *Queue[string, Member]
}

// sendRelayBeats sends the beats to other data centres that are due.
func (ma *Machine) sendRelayBeats() {
	if ma.joining {
		return
	}
	ma.updateRelays()
	for _, name := range ma.table.dcNames {
		re, ok := ma.relays[name]
		if !ok || ma.now < re.next {
			continue
		}
		re.next = ma.now + ma.cfg.RelayEvery
		if ma.repairing(name) {
			re.next = ma.now + ma.cfg.RelayEvery/repairBeatFactor
		}
		ma.sendRelayBeat(re)
	}
}

func (ma *Machine) sendRelayBeat(re *relay) {
	ranked := ma.table.relayCandidates(re.to, ma.self.DataCentre)
	if len(ranked) == 0 {
		return
	}
	peer := ranked[(re.rank+re.failures)%len(ranked)]
	re.peer = peer.Addr
	ma.send(peer, purposeRelay, 0)
}

// updateRelays recomputes the data centres for which this VM is a relay, if the membership has
// changed.
func (ma *Machine) updateRelays() {
	if ma.relaysVersion == ma.table.version {
		return
	}
	ma.relaysVersion = ma.table.version
	for _, name := range ma.table.dcNames {
		if name == ma.self.DataCentre {
			continue
		}
		rank := ma.rank(name)
		re, has := ma.relays[name]
		switch {
		case rank < 0 && has:
			delete(ma.relays, name)
		case rank >= 0 && !has:
			ma.relays[name] = &relay{to: name, rank: rank, next: ma.now, updates: NewQueue[string, Member](maxQueuedUpdates)}
		case rank >= 0:
			re.rank = rank
		}
	}
}

// rank returns this VM's rank among the relays to a data centre, or -1 if it is not one of them.
func (ma *Machine) rank(to string) int {
	first := ma.table.relayCandidates(ma.self.DataCentre, to)
	first = first[:min(ma.cfg.Relays, len(first))]
	return slices.Index(first, ma.self)
}

func (ma *Machine) relayFailed(addr string) {
	for _, re := range ma.relays {
		if re.peer == addr {
			re.failures++
			re.peer = ""
			// The next VM is tried sooner than after the regular interval, but not at once: if the
			// whole data centre is unreachable, this still finds the recovery soon enough at little
			// cost.
			re.next = min(re.next, ma.now+ma.cfg.RelayEvery/2)
		}
	}
}

func (ma *Machine) relayAnswered(addr string) {
	for _, re := range ma.relays {
		if re.peer == addr {
			re.peer = ""
		}
	}
}
