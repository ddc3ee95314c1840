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
	// until is when the last ticket issued here expires, ends when the grace of
	// a stop does; both count from the start.
	until, ends atomic.Int64
}

// Search takes a search.
func (de *desk) Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	return de.driver.Search(ctx, rq)
}

// Tickets issues tickets. A VM that is leaving has another one issue them; if
// there is none it issues those that it can answer for to their end, or none.
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
		nd.log.Warn().Str("vm", vm.Addr).Err(err).Msg("another VM could not issue tickets")
	}
	if time.Since(nd.started)+nd.set.TicketTTL <= time.Duration(de.ends.Load()) {
		// This VM stays until they have expired.
		return de.issue(team, n)
	}
	return nil
}

// candidates are the VMs to ask: live ones before those that are only on the
// list, as all are to a VM that has just booted, and within each those of this
// data centre first.
func (de *desk) candidates(team string) []member.VM {
	var all []member.Member
	de.nd.ask(func(ct *control) { all = ct.members.ma.Members() })
	var out []member.VM
	for _, state := range []member.State{member.StateLive, member.StateCandidate} {
		near, far := de.split(all, state)
		out = append(out, member.Rank(near, "tickets "+team, issuers)...)
		out = append(out, member.Rank(far, "tickets "+team, issuers)...)
	}
	return out[:min(issuers, len(out))]
}

func (de *desk) split(all []member.Member, state member.State) (near, far []member.VM) {
	for _, mb := range all {
		switch {
		case mb.Addr == de.nd.addr || mb.State() != state:
		case mb.DataCentre == de.nd.set.DataCentre:
			near = append(near, mb.VM)
		default:
			far = append(far, mb.VM)
		}
	}
	return near, far
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
