package node

import (
	"math"

	"laburnumvane/core/view"
	"laburnumvane/io/wire"
)

// limits returns the driver's limits. The teams' shares are left empty; only the control
// goroutine may read them.
func (nd *Node) limits() *wire.LimitsOfVM {
	return &wire.LimitsOfVM{
		Teams:     []wire.TeamLimit{},
		Queues:    nd.driver.Queues(),
		ExtraLeft: nd.driver.ExtraLeft(),
		Budgets:   nd.driver.Budgets(),
	}
}

func (nd *Node) teamLimits(ct *control, vw *view.View) []wire.TeamLimit {
	out := []wire.TeamLimit{}
	for _, ts := range teamStatuses(vw) {
		out = append(out, nd.teamLimit(ct, vw, ts.Team))
	}
	return out
}

func (nd *Node) teamLimit(ct *control, vw *view.View, name string) wire.TeamLimit {
	tm, _ := vw.Team(name)
	limits := tm.Document.Limits
	tl := wire.TeamLimit{
		Team:              name,
		Share:             ct.shares.machine.Share(name),
		Held:              ct.shares.machine.Held(name),
		SearchesPerSecond: limits.SearchesPerSecond,
		Concurrent:        limits.Concurrent,
	}
	if bu := nd.bucket(name); bu != nil {
		tl.SearchesPerSecondPart, tl.ConcurrentPart = bu.Limits()
		tl.InFlight = bu.InFlight()
	}
	return tl
}

// serverLimit returns a server's adaptive limit in whole sub-requests, rounded up: a limit
// below 1 still admits a sub-request now and then, so it must not show as 0.
func (nd *Node) serverLimit(id view.ServerID) int {
	return int(math.Ceil(nd.driver.ServerLimit(id)))
}
