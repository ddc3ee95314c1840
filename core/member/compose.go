package member

import (
	"slices"
)

// compose makes a message to a VM.
func (ma *Machine) compose(to *record, relayed bool) Message {
	mg := Message{From: ma.self.Member, Joining: ma.joining}
	if ma.joining {
		mg.Want = Place{DataCentre: ma.self.DataCentre, After: ma.cursor}
		return mg
	}
	mg.Digest = ma.table.area(ma.self.DataCentre).digest
	mg.Members = ma.newsFor(to, relayed)
	if relayed {
		// What the other side knows best is itself.
		mg.Other = ma.link(to.DataCentre)
	} else {
		mg.Other = ma.anyLink()
	}
	ma.repair(to, &mg)
	return mg
}

// answer makes the answer to a message, with the page that it wants.
func (ma *Machine) answer(to *record, mg Message) Message {
	rp := ma.compose(to, to.DataCentre != ma.self.DataCentre)
	if ma.joining || mg.Want.DataCentre == "" {
		return rp
	}
	ar, ok := ma.table.areas[mg.Want.DataCentre]
	if !ok {
		return rp
	}
	page, next := ar.page(mg.Want.After, ma.pageSize(to, mg.Joining))
	rp.Members = addMembers(rp.Members, page)
	rp.Next = Place{DataCentre: ar.name, After: next}
	return rp
}

// pageSize is larger where messages are rare.
func (ma *Machine) pageSize(to *record, joining bool) int {
	if joining || to.DataCentre != ma.self.DataCentre {
		return ma.cfg.JoinPage
	}
	return ma.cfg.PagePerMessage
}

func addMembers(out, page []Member) []Member {
	for _, mb := range page {
		if !slices.ContainsFunc(out, func(o Member) bool { return o.Addr == mb.Addr }) {
			out = append(out, mb)
		}
	}
	return out
}

// newsFor takes from the queues what rides to a VM. The VM's own state goes
// first if it has reason to answer it.
func (ma *Machine) newsFor(to *record, relayed bool) []Member {
	var out []Member
	if to.Incarnation > 0 && (to.Gone || to.suspected()) {
		out = append(out, to.Member)
	}
	queue := ma.news
	limit := Retransmits(len(ma.table.area(ma.self.DataCentre).records))
	if relayed {
		re, ok := ma.relays[to.DataCentre]
		if !ok {
			return out
		}
		queue, limit = re.news, relayRetransmits
	}
	queue.Take(limit, func(mb Member) bool {
		if len(out) >= ma.cfg.NewsPerMessage {
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

// anyLink is another data centre drawn by lot. To take them in turn would let the
// turns fall in step with the answers in between, and one neighbour would hear
// of the same data centre for ever.
func (ma *Machine) anyLink() Link {
	names := ma.table.names
	if len(names) < 2 {
		return Link{}
	}
	name := names[ma.cfg.Random.IntN(len(names))]
	for name == ma.self.DataCentre {
		name = names[ma.cfg.Random.IntN(len(names))]
	}
	return ma.link(name)
}

func (ma *Machine) link(name string) Link {
	ar := ma.table.area(name)
	silent := never
	if ar.heard != never {
		silent = ma.now - ar.heard
	}
	return Link{DataCentre: name, Digest: ar.digest, Silent: silent}
}
