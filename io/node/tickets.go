package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumvane/core/member"
	"laburnumvane/io/drive"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// issuers is how many other VMs are asked for tickets that this one, as it
// leaves, may not issue.
const issuers = 3

// desk is what the callers' listener asks: the driver, but for tickets, which
// would be void soon if a VM that is leaving issued them.
type desk struct {
	nd     *Node
	driver *drive.Driver
	// until is when the last ticket issued here expires, since the start.
	until atomic.Int64
}

// Search takes a search.
func (de *desk) Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	return de.driver.Search(ctx, rq)
}

// Tickets issues tickets, or has another VM issue them; none if there is no
// other.
func (de *desk) Tickets(team string, n int) []string {
	if de.nd.Leaving() {
		return de.elsewhere(team, n)
	}
	return de.issue(team, n)
}

func (de *desk) issue(team string, n int) []string {
	until := time.Since(de.nd.started) + de.nd.set.TicketTTL
	de.until.Store(int64(until))
	return de.driver.Tickets(team, n)
}

// ticketsUntil is when the last ticket issued here expires.
func (de *desk) ticketsUntil() time.Duration {
	return time.Duration(de.until.Load())
}

func (de *desk) elsewhere(team string, n int) []string {
	nd := de.nd
	for _, vm := range de.candidates(team) {
		ctx, cancel := context.WithTimeout(nd.stopping, peerTimeout)
		rp, err := nd.peers.To(vm.Addr).Issue(ctx, &inner.IssueRequest{Version: inner.Version, From: nd.self(), Team: team, Count: uint32(n)})
		cancel()
		if err == nil {
			nd.meter.Count(meter.Member, "ticketsElsewhere")
			return rp.GetTickets()
		}
	}
	return nil
}

// candidates are live VMs, those of this data centre first.
func (de *desk) candidates(team string) []member.VM {
	var live []member.VM
	de.nd.ask(func(ct *control) { live = ct.members.ma.Live() })
	var near, far []member.VM
	for _, vm := range live {
		switch {
		case vm.Addr == de.nd.addr:
		case vm.DataCentre == de.nd.set.DataCentre:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	out := append(member.Rank(near, "tickets "+team, issuers), member.Rank(far, "tickets "+team, issuers)...)
	return out[:min(issuers, len(out))]
}

// maxIssue bounds the tickets that another VM may ask for at once, as the
// callers' listener does.
const maxIssue = 1000

// Issue issues tickets for a caller of a VM that is leaving.
func (se *service) Issue(_ context.Context, rq *inner.IssueRequest) (*inner.IssueReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	if se.nd.Leaving() {
		return nil, twirp.NewError(twirp.Unavailable, "this VM is leaving too")
	}
	if rq.GetTeam() == "" || rq.GetCount() == 0 || rq.GetCount() > maxIssue {
		return nil, twirp.InvalidArgumentError("count", "must be between 1 and 1000, with a team")
	}
	return &inner.IssueReply{Version: inner.Version, Tickets: se.nd.desk.issue(rq.GetTeam(), int(rq.GetCount()))}, nil
}
