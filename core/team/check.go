package team

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// checkName makes sure that a document is not put into another team's subtree.
func (rd *reader) checkName(name string, doc Document) {
	if doc.Team != "" && doc.Team != name {
		rd.addAt("team", KindInvalid, "is %q, and the document is for team %q", doc.Team, name)
	}
}

// checkDocument compares fields with each other, once all have been read.
func (rd *reader) checkDocument(doc Document) {
	for _, name := range slices.Sorted(maps.Keys(doc.Searches)) {
		at := join("searches", name)
		rd.checkSearch(at, doc.Searches[name])
		rd.checkRegister(at, doc.Searches[name], doc)
	}
	adr := addresses{}
	for _, name := range slices.Sorted(maps.Keys(doc.Registers)) {
		svcs := doc.Registers[name].Services
		for _, svc := range slices.Sorted(maps.Keys(svcs)) {
			at := join(join("registers", name)+".services", svc)
			rd.checkService(at, svcs[svc])
			rd.checkAddresses(at, svcs[svc], adr)
		}
	}
}

func (rd *reader) checkSearch(at string, sch Search) {
	if sch.HardDeadlineMs > 0 && sch.SoftDeadlineMs > sch.HardDeadlineMs {
		rd.addAt(at+".softDeadlineMs", KindInvalid, "is %d, later than hardDeadlineMs, which is %d", sch.SoftDeadlineMs, sch.HardDeadlineMs)
	}
	if rd.clean(at + ".hedge") {
		rd.checkHedge(at, sch)
	}
	if rd.clean(at + ".retry") {
		rd.checkRetry(at+".retry", sch.Retry)
	}
}

// checkHedge refuses settings of which one undoes the other: an operator who
// writes them believes that hedges are on when they are not, or off when a
// search that must run once would have run twice.
func (rd *reader) checkHedge(at string, sch Search) {
	hdg := sch.Hedge
	switch {
	case sch.NeverRepeat && (hdg.Quantile > 0 || hdg.Budget > 0):
		rd.addAt(at+".hedge", KindInvalid, "a search with neverRepeat is never hedged: leave hedge out")
		return
	case hdg.Quantile > 0 && hdg.Budget == 0:
		rd.addAt(at+".hedge.budget", KindInvalid, "is 0, so the quantile has no effect: set both or neither")
	case hdg.Quantile == 0 && hdg.Budget > 0:
		rd.addAt(at+".hedge.quantile", KindInvalid, "is 0, so the budget has no effect: set both or neither")
	}
	if sch.HardDeadlineMs > 0 && hdg.MinDelayMs >= sch.HardDeadlineMs {
		rd.addAt(at+".hedge.minDelayMs", KindInvalid, "is %d, and hardDeadlineMs is %d: no hedge could go out", hdg.MinDelayMs, sch.HardDeadlineMs)
	}
}

func (rd *reader) checkRetry(at string, rty Retry) {
	if rty.PerShard > 0 && rty.Budget == 0 {
		rd.addAt(at+".budget", KindInvalid, "is 0, so perShard has no effect: set both or neither")
	}
	if rty.PerShard == 0 && rty.Budget > 0 {
		rd.addAt(at+".perShard", KindInvalid, "is 0, so the budget has no effect: set both or neither")
	}
}

func (rd *reader) checkRegister(at string, sch Search, doc Document) {
	if sch.Register == "" || !rd.clean("registers") {
		return
	}
	if _, ok := doc.Registers[sch.Register]; !ok {
		rd.addAt(at+".register", KindInvalid, "is %q, which is not among registers", sch.Register)
	}
}

func (rd *reader) checkService(at string, svc Service) {
	if svc.ConnectionsPerServer > 0 && svc.ConnectionsPerServer < svc.SlotsPerServer {
		rd.addAt(at+".connectionsPerServer", KindInvalid, "is %d, fewer than slotsPerServer, which is %d: slots would stay empty",
			svc.ConnectionsPerServer, svc.SlotsPerServer)
	}
}

// addresses maps each server to the place where it was seen first. The same
// address twice would count one server's slots and connections twice.
type addresses map[netip.AddrPort]serverPlace

// serverPlace is a server's place among those of a service.
type serverPlace struct {
	service string
	index   int
}

func (sp serverPlace) path() string {
	return fmt.Sprintf("%s.servers[%d].addr", sp.service, sp.index)
}

func (rd *reader) checkAddresses(at string, svc Service, adr addresses) {
	for i, srv := range svc.Servers {
		ap, err := netip.ParseAddrPort(srv.Addr)
		if err != nil {
			continue
		}
		here := serverPlace{service: at, index: i}
		key := netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
		if first, dup := adr[key]; dup {
			rd.addAt(here.path(), KindInvalid, "is %s, the server of %s", srv.Addr, first.path())
			continue
		}
		adr[key] = here
	}
}
