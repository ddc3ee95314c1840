package member

import (
	"slices"
	"time"
)

// relayRetransmits is on how many of a relay's messages an item rides; the other
// relay sends it too, and the digests mend the rest.
const relayRetransmits = 3

// repairPace is how much faster a relay beats while tables differ.
const repairPace = 4

// relay is this VM's duty towards another data centre.
type relay struct {
	to    string
	next  time.Duration
	place int
	// skips counts failures: each moves on to the next VM there.
	skips int
	peer  string
	news  *Queue[string, Member]
}

// relay sends the beats to other data centres that are due.
func (ma *Machine) relay() {
	if ma.joining {
		return
	}
	ma.duties()
	for _, name := range ma.table.names {
		re, ok := ma.relays[name]
		if !ok || ma.now < re.next {
			continue
		}
		re.next = ma.now + ma.cfg.RelayEvery
		if ma.repairing(name) {
			re.next = ma.now + ma.cfg.RelayEvery/repairPace
		}
		ma.relayBeat(re)
	}
}

func (ma *Machine) relayBeat(re *relay) {
	ranked := ma.table.ranked(re.to, ma.self.DataCentre)
	if len(ranked) == 0 {
		return
	}
	peer := ranked[(re.place+re.skips)%len(ranked)]
	re.peer = peer.Addr
	ma.send(peer, purposeRelay, 0)
}

// duties computes for which other data centres this VM ranks high enough.
func (ma *Machine) duties() {
	if ma.placed == ma.table.version {
		return
	}
	ma.placed = ma.table.version
	for _, name := range ma.table.names {
		if name == ma.self.DataCentre {
			continue
		}
		place := ma.place(name)
		re, has := ma.relays[name]
		switch {
		case place < 0 && has:
			delete(ma.relays, name)
		case place >= 0 && !has:
			ma.relays[name] = &relay{to: name, place: place, next: ma.now, news: NewQueue[string, Member](newsRoom)}
		case place >= 0:
			re.place = place
		}
	}
}

// place is this VM's rank for talking to a data centre, -1 if it is none of its
// relays.
func (ma *Machine) place(to string) int {
	first := ma.table.ranked(ma.self.DataCentre, to)
	first = first[:min(ma.cfg.Relays, len(first))]
	return slices.Index(first, ma.self)
}

func (ma *Machine) relayFailed(addr string) {
	for _, re := range ma.relays {
		if re.peer == addr {
			re.skips++
			re.peer = ""
			// The other data centre may be cut off: trying at the
			// usual pace finds out soon enough and costs no more.
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
