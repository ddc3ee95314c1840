package drive

import (
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"laburnumvane/core/team"
	"laburnumvane/core/ticket"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// Reasons of answers to searches with tickets.
const (
	ReasonTicketForged  = "ticketForged"
	ReasonTicketTeam    = "ticketOfOtherTeam"
	ReasonTicketBody    = "ticketOfOtherRequest"
	ReasonTicketFull    = "ticketTableFull"
	ReasonTicketExpired = "ticketExpired"
	ReasonTicketVoid    = "ticketVoid"
	// ReasonTicketUnverified: the ticket is not signed with the VMs' shared key.
	ReasonTicketUnverified = "ticketUnverified"
	ReasonTicketRunning    = "ticketRunning"
	ReasonTicketForgotten  = "ticketAnswerForgotten"
	// ReasonIssuerGone: the issuer could not be reached, so this attempt did
	// not run.
	ReasonIssuerGone = "ticketIssuerUnreachable"
	// ReasonIssuerSilent: the issuer was asked and did not answer.
	ReasonIssuerSilent = "ticketIssuerSilent"
)

// forwardShare of the time left is kept back for the way to the issuer and
// back, up to forwardMost, so that its answer comes before the caller's
// deadline.
const (
	forwardShare = 10
	forwardMost  = 20 * time.Millisecond
)

// ticketRetryAfter is when a caller that met a full table may come back.
const ticketRetryAfter = time.Second

// Tickets issues n tickets for a team.
func (dr *Driver) Tickets(teamName string, n int) []string {
	return dr.tickets.issue(dr.now(), teamName, n)
}

func (dr *Driver) withTicket(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	due := dr.now() + dr.budgetOf(rq, dr.confOf(rq))
	vd, fr := dr.tickets.begin(dr.now(), rq)
	switch vd.Kind {
	case ticket.VerdictRun:
		return dr.firstRun(ctx, rq, vd.Number, fr)
	case ticket.VerdictWait:
		return dr.await(ctx, due, fr)
	case ticket.VerdictAnswered:
		return vd.Answer
	case ticket.VerdictElsewhere:
		return dr.forward(ctx, due, vd.Issuer, rq)
	default:
		return dr.ticketRefusal(vd.Kind)
	}
}

// confOf is the search's configuration, empty where this VM holds none.
func (dr *Driver) confOf(rq wire.SearchRequest) team.Search {
	tm, _ := dr.cfg.View().Team(rq.Team)
	return tm.Document.Searches[rq.Search]
}

// budgetOf is the time that a caller gives its search.
func (dr *Driver) budgetOf(rq wire.SearchRequest, conf team.Search) time.Duration {
	budget := dr.cfg.MaxDeadline
	if conf.HardDeadlineMs > 0 {
		budget = min(budget, conf.HardDeadline())
	}
	if rq.DeadlineMs > 0 {
		budget = min(budget, time.Duration(rq.DeadlineMs)*time.Millisecond)
	}
	return budget
}

func (dr *Driver) firstRun(ctx context.Context, rq wire.SearchRequest, number uint64, fr *firstRun) wire.SearchAnswer {
	// Should the run end in a panic, those who wait must still be woken, and
	// nobody may run it again.
	an := unknown("internal", "the search ended without an answer")
	defer func() { dr.tickets.finish(number, fr, an) }()
	// The caller may go away and come back with the same ticket: the run
	// goes on for the answer it will then be given.
	an = dr.configured(context.WithoutCancel(ctx), rq)
	return an
}

// await waits for the first run's answer, but no longer than its own caller.
func (dr *Driver) await(ctx context.Context, due time.Duration, fr *firstRun) wire.SearchAnswer {
	tm := time.NewTimer(due - dr.now())
	defer tm.Stop()
	select {
	case <-fr.done:
		return fr.answer
	case <-tm.C:
	case <-ctx.Done():
	}
	return unknown(ReasonTicketRunning, "an earlier attempt with this ticket is still running")
}

// forward asks the VM that issued the ticket.
func (dr *Driver) forward(ctx context.Context, due time.Duration, to ticket.Issuer, rq wire.SearchRequest) wire.SearchAnswer {
	ctx, cancel := context.WithDeadline(ctx, dr.start.Add(due))
	defer cancel()
	left := due - dr.now()
	left -= min(left/forwardShare, forwardMost)
	if left < leastSendTime {
		return dr.issuerGone()
	}
	rq.DeadlineMs = left.Milliseconds()
	an, err := dr.cfg.Forward.Run(ctx, to, rq)
	switch {
	case err == nil:
		return an
	case notSent(err):
		return dr.issuerGone()
	default:
		dr.cfg.Meter.Count(meter.Refusal, ReasonIssuerSilent)
		return unknown(ReasonIssuerSilent, "the VM that issued the ticket was asked and did not answer: this attempt, or an earlier one, may have run")
	}
}

func (dr *Driver) issuerGone() wire.SearchAnswer {
	dr.cfg.Meter.Count(meter.Refusal, ReasonIssuerGone)
	return unknown(ReasonIssuerGone, "the VM that issued the ticket cannot be reached: this attempt did not run, an earlier one may have")
}

// notSent tells whether a forwarded search certainly never left: no connection
// to the issuer came about.
func notSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// RunForwarded takes a search that another VM forwarded; it is never passed on
// again. Void tells that this process did not issue the ticket.
func (dr *Driver) RunForwarded(ctx context.Context, rq wire.SearchRequest) (an wire.SearchAnswer, void bool) {
	is, ok := ticket.IssuerOf(rq.Ticket)
	if !ok || is.Addr != dr.cfg.Tickets.Addr || is.Incarnation != dr.cfg.Incarnation {
		return dr.ticketRefusal(ticket.VerdictVoid), true
	}
	return dr.Search(ctx, rq), false
}

func (dr *Driver) ticketRefusal(vk ticket.VerdictKind) wire.SearchAnswer {
	switch vk {
	case ticket.VerdictForged:
		return dr.refuse(ReasonTicketForged, "this is not a ticket, or it was altered")
	case ticket.VerdictOtherTeam:
		return dr.refuse(ReasonTicketTeam, "the ticket was issued to another team")
	case ticket.VerdictOtherBody:
		return dr.refuse(ReasonTicketBody, "the ticket was used before with another request")
	case ticket.VerdictFull:
		an := dr.refuse(ReasonTicketFull, "this VM remembers as many tickets as it may; come back later")
		an.RetryAfterMs = ticketRetryAfter.Milliseconds()
		return an
	case ticket.VerdictUnverified:
		return dr.doubt(ReasonTicketUnverified, "the ticket is not signed with this VM's key: its issuer was not asked, an earlier attempt may have run")
	case ticket.VerdictForgotten:
		return dr.doubt(ReasonTicketForgotten, "an earlier attempt ran; its answer is no longer kept")
	case ticket.VerdictExpired:
		return dr.doubt(ReasonTicketExpired, "the ticket has expired: this attempt did not run, an earlier one may have")
	default:
		return dr.doubt(ReasonTicketVoid, "the process that issued the ticket is gone: this attempt did not run, an earlier one may have")
	}
}

func (dr *Driver) doubt(reason, message string) wire.SearchAnswer {
	dr.cfg.Meter.Count(meter.Refusal, reason)
	return unknown(reason, message)
}

// unknown is the answer where an earlier attempt may have run: to say notRun
// would invite the caller to run it twice.
func unknown(reason, message string) wire.SearchAnswer {
	return wire.SearchAnswer{Outcome: wire.OutcomeUnknown, Reason: reason, Message: message}
}

// bodyHash covers what makes two requests the same search.
func bodyHash(rq wire.SearchRequest) uint64 {
	di := xxhash.New()
	for _, part := range []string{rq.Team, rq.Search, rq.Register, string(rq.Query)} {
		// Writing to a hash cannot fail.
		_, _ = di.WriteString(part)
		_, _ = di.Write([]byte{0})
	}
	return di.Sum64()
}
