package team

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// checkTeamName verifies that a document is not stored under another team's name.
func (rd *reader) checkTeamName(name string, doc Document) {
	if doc.Team != "" && doc.Team != name {
		rd.addAt("team", KindInvalid, "is %q, and the document is for team %q", doc.Team, name)
	}
}

// checkDocument compares fields with each other after all have been read.
func (rd *reader) checkDocument(doc Document) {
	for _, name := range slices.Sorted(maps.Keys(doc.Searches)) {
		path := joinPath("searches", name)
		rd.checkSearch(path, doc.Searches[name])
		rd.checkRegister(path, doc.Searches[name], doc)
	}
	adr := addresses{}
	for _, name := range slices.Sorted(maps.Keys(doc.Registers)) {
		svcs := doc.Registers[name].Services
		for _, svc := range slices.Sorted(maps.Keys(svcs)) {
			path := joinPath(joinPath("registers", name)+".services", svc)
			rd.checkService(path, svcs[svc])
			rd.checkAddresses(path, svcs[svc], adr)
		}
	}
}

func (rd *reader) checkSearch(path string, sch Search) {
	if sch.HardDeadlineMs > 0 && sch.SoftDeadlineMs > sch.HardDeadlineMs {
		rd.addAt(path+".softDeadlineMs", KindInvalid, "is %d, later than hardDeadlineMs, which is %d", sch.SoftDeadlineMs, sch.HardDeadlineMs)
	}
	if rd.hasNoFaults(path + ".hedge") {
		rd.checkHedge(path, sch)
	}
	if rd.hasNoFaults(path + ".retry") {
		rd.checkRetry(path+".retry", sch.Retry)
	}
}

// checkHedge rejects settings of which one disables the other: the operator would believe
// that hedging is enabled when it is not, or disabled for a search that must run only once.
func (rd *reader) checkHedge(path string, sch Search) {
	hdg := sch.Hedge
	switch {
	case sch.NeverRepeat && (hdg.Quantile > 0 || hdg.Budget > 0):
		rd.addAt(path+".hedge", KindInvalid, "a search with neverRepeat is never hedged: leave hedge out")
		return
	case hdg.Quantile > 0 && hdg.Budget == 0:
		rd.addAt(path+".hedge.budget", KindInvalid, "is 0, so the quantile has no effect: set both or neither")
	case hdg.Quantile == 0 && hdg.Budget > 0:
		rd.addAt(path+".hedge.quantile", KindInvalid, "is 0, so the budget has no effect: set both or neither")
	}
	if sch.HardDeadlineMs > 0 && hdg.MinDelayMs >= sch.HardDeadlineMs {
		rd.addAt(path+".hedge.minDelayMs", KindInvalid, "is %d, and hardDeadlineMs is %d: no hedge could go out", hdg.MinDelayMs, sch.HardDeadlineMs)
	}
}

func (rd *reader) checkRetry(path string, rty Retry) {
	if rty.PerShard > 0 && rty.Budget == 0 {
		rd.addAt(path+".budget", KindInvalid, "is 0, so perShard has no effect: set both or neither")
	}
	if rty.PerShard == 0 && rty.Budget > 0 {
		rd.addAt(path+".perShard", KindInvalid, "is 0, so the budget has no effect: set both or neither")
	}
}

func (rd *reader) checkRegister(path string, sch Search, doc Document) {
	if sch.Register == "" || !rd.hasNoFaults("registers") {
		return
	}
	if _, ok := doc.Registers[sch.Register]; !ok {
		rd.addAt(path+".register", KindInvalid, "is %q, which is not among registers", sch.Register)
	}
}

func (rd *reader) checkService(path string, svc Service) {
	if svc.ConnectionsPerServer > 0 && svc.ConnectionsPerServer < svc.SlotsPerServer {
		rd.addAt(path+".connectionsPerServer", KindInvalid, "is %d, fewer than slotsPerServer, which is %d: slots would stay empty",
			svc.ConnectionsPerServer, svc.SlotsPerServer)
	}
}

// addresses maps each server address to its first occurrence. A duplicate address would count
// one server's slots and connections twice.
type addresses map[netip.AddrPort]serverPosition

// serverPosition is the position of a server in a document. service is the path of its
// service.
type serverPosition struct {
	service string
	index   int
}

func (sp serverPosition) path() string {
	return fmt.Sprintf("%s.servers[%d].addr", sp.service, sp.index)
}

func (rd *reader) checkAddresses(path string, svc Service, adr addresses) {
	for i, srv := range svc.Servers {
		ap, err := netip.ParseAddrPort(srv.Addr)
		if err != nil {
			continue
		}
		position := serverPosition{service: path, index: i}
		key := netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
		if first, dup := adr[key]; dup {
			rd.addAt(position.path(), KindInvalid, "is %s, the server of %s", srv.Addr, first.path())
			continue
		}
		adr[key] = position
	}
}
