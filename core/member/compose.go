package member

import (
	"slices"
)

// buildMessage returns the next message for a VM. While this VM joins, the message only asks for a
// page of the data centre's table. relayed is true for messages to another data centre.
func (ma *Machine) buildMessage(to *record, relayed bool) Message {
	mg := Message{From: ma.self.Member, Joining: ma.joining}
	if ma.joining {
		mg.WantPage = Cursor{DataCentre: ma.self.DataCentre, After: ma.joinCursor}
		return mg
	}
	mg.Digest = ma.table.dataCentre(ma.self.DataCentre).digest
	mg.Members = ma.updatesFor(to, relayed)
	if relayed {
		// The receiver has the most accurate data about its own data centre, so its digest is the
		// one worth comparing.
		mg.OtherDataCentre = ma.dataCentreView(to.DataCentre)
	} else {
		mg.OtherDataCentre = ma.anyDataCentreView()
	}
	ma.repair(to, &mg)
	return mg
}

// buildReply returns the reply to a message, including the page that the sender asked for.
func (ma *Machine) buildReply(to *record, mg Message) Message {
	rp := ma.buildMessage(to, to.DataCentre != ma.self.DataCentre)
	if ma.joining || mg.WantPage.DataCentre == "" {
		return rp
	}
	dc, ok := ma.table.dcs[mg.WantPage.DataCentre]
	if !ok {
		return rp
	}
	page, next := dc.page(mg.WantPage.After, ma.pageSize(to, mg.Joining))
	rp.Members = addMembers(rp.Members, page)
	rp.NextPage = Cursor{DataCentre: dc.name, After: next}
	return rp
}

// pageSize is larger for joining VMs and between data centres, where messages are rare.
func (ma *Machine) pageSize(to *record, joining bool) int {
	if joining || to.DataCentre != ma.self.DataCentre {
		return ma.cfg.JoinPageSize
	}
	return ma.cfg.RepairPageSize
}

func addMembers(out, page []Member) []Member {
	for _, mb := range page {
		if !slices.ContainsFunc(out, func(o Member) bool { return o.Addr == mb.Addr }) {
			out = append(out, mb)
		}
	}
	return out
}

// updatesFor takes from the queues the updates to piggyback on a message. If the receiver is
// considered suspect or gone, its own state goes first, so that it can refute it.
func (ma *Machine) updatesFor(to *record, relayed bool) []Member {
	var out []Member
	if to.Incarnation > 0 && (to.Gone || to.suspected()) {
		out = append(out, to.Member)
	}
	queue := ma.updates
	limit := Retransmits(len(ma.table.dataCentre(ma.self.DataCentre).records))
	if relayed {
		re, ok := ma.relays[to.DataCentre]
		if !ok {
			return out
		}
		queue, limit = re.updates, relayRetransmits
	}
	queue.Take(limit, func(mb Member) bool {
		if len(out) >= ma.cfg.UpdatesPerMessage {
			return false
		}
		if mb.Addr == to.Addr {
			return false
		}
		out = append(out, mb)
		return true
	})
	return out
}

// anyLink describes another data centre, chosen at random. Round-robin could fall in step with the
// replies sent in between, and one neighbour would then always receive the same data centre.
func (ma *Machine) anyDataCentreView() DataCentreView {
	names := ma.table.dcNames
	if len(names) < 2 {
		return DataCentreView{}
	}
	name := names[ma.cfg.Random.IntN(len(names))]
	for name == ma.self.DataCentre {
		name = names[ma.cfg.Random.IntN(len(names))]
	}
	return ma.dataCentreView(name)
}

func (ma *Machine) dataCentreView(name string) DataCentreView {
	dc := ma.table.dataCentre(name)
	silent := neverHeard
	if dc.lastHeard != neverHeard {
		silent = ma.now - dc.lastHeard
	}
	return DataCentreView{DataCentre: name, Digest: dc.digest, SinceHeard: silent}
}
