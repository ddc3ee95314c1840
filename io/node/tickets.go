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

// maxIssuersAsked is the number of other VMs that a leaving VM asks to issue tickets.
const maxIssuersAsked = 3

// callerService handles the requests of the caller listener. It passes searches to the driver.
// Tickets have rules of their own, since those of a VM that is leaving are void once it has
// stopped.
type callerService struct {
	nd     *Node
	driver *drive.Driver
	// ticketsExpireAt is when the last ticket issued here expires, graceEndsAt when the grace
	// period of a stop ends. Both are durations since the VM's start.
	ticketsExpireAt, graceEndsAt atomic.Int64
}

// Search runs a caller's search.
func (cs *callerService) Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	return cs.driver.Search(ctx, rq)
}

// Tickets issues tickets. A VM that is leaving has another VM issue them. If no other VM does,
// it issues them itself if it will still run when they expire, and otherwise returns none.
func (cs *callerService) Tickets(team string, n int) []string {
	if cs.nd.Leaving() {
		return cs.issueElsewhere(team, n)
	}
	return cs.issue(team, n)
}

func (cs *callerService) issue(team string, n int) []string {
	until := time.Since(cs.nd.started) + cs.nd.set.TicketTTL
	cs.ticketsExpireAt.Store(int64(until))
	return cs.driver.Tickets(team, n)
}

// ticketsUntil returns when the last ticket issued here expires, as a duration since the VM's
// start.
func (cs *callerService) ticketsUntil() time.Duration {
	return time.Duration(cs.ticketsExpireAt.Load())
}

func (cs *callerService) issueElsewhere(team string, n int) []string {
	nd := cs.nd
	for _, vm := range cs.candidates(team) {
		ctx, cancel := context.WithTimeout(nd.stopping, peerTimeout)
		rp, err := nd.peers.To(vm.Addr).Issue(ctx, &inner.IssueRequest{Version: inner.Version, From: nd.self(), Team: team, Count: uint32(n)})
		cancel()
		if err == nil {
			nd.meter.Count(meter.Member, "ticketsElsewhere")
			return rp.GetTickets()
		}
		nd.log.Warn().Str("vm", vm.Addr).Err(err).Msg("another VM could not issue tickets")
	}
	if time.Since(nd.started)+nd.set.TicketTTL <= time.Duration(cs.graceEndsAt.Load()) {
		// This VM runs until the tickets have expired.
		return cs.issue(team, n)
	}
	return nil
}

// candidates returns the VMs to ask: live VMs before those that are only on the VM list (which
// are all that a VM knows that has just booted), and within both groups the VMs of this data
// centre first.
func (cs *callerService) candidates(team string) []member.VM {
	var all []member.Member
	cs.nd.onControl(func(ct *control) { all = ct.members.machine.Members() })
	var out []member.VM
	for _, state := range []member.State{member.StateLive, member.StateCandidate} {
		local, remote := cs.byDataCentre(all, state)
		out = append(out, member.Rank(local, "tickets "+team, maxIssuersAsked)...)
		out = append(out, member.Rank(remote, "tickets "+team, maxIssuersAsked)...)
	}
	return out[:min(maxIssuersAsked, len(out))]
}

func (cs *callerService) byDataCentre(all []member.Member, state member.State) (local, remote []member.VM) {
	for _, mb := range all {
		switch {
		case mb.Addr == cs.nd.addr || mb.State() != state:
		case mb.DataCentre == cs.nd.set.DataCentre:
			local = append(local, mb.VM)
		default:
			remote = append(remote, mb.VM)
		}
	}
	return local, remote
}

// maxTicketsPerIssue bounds the tickets that another VM may request at once. It is the limit of
// the caller listener.
const maxTicketsPerIssue = 1000

// Issue issues tickets on behalf of a VM that is leaving.
func (ps *peerService) Issue(_ context.Context, rq *inner.IssueRequest) (*inner.IssueReply, error) {
	if err := ps.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	if ps.nd.Leaving() {
		return nil, twirp.NewError(twirp.Unavailable, "this VM is leaving too")
	}
	if rq.GetTeam() == "" || rq.GetCount() == 0 || rq.GetCount() > maxTicketsPerIssue {
		return nil, twirp.InvalidArgumentError("count", "must be between 1 and 1000, with a team")
	}
	return &inner.IssueReply{Version: inner.Version, Tickets: ps.nd.callerService.issue(rq.GetTeam(), int(rq.GetCount()))}, nil
}
