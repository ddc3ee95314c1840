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
	ReasonTicketForged         = "ticketForged"
	ReasonTicketOfOtherTeam    = "ticketOfOtherTeam"
	ReasonTicketOfOtherRequest = "ticketOfOtherRequest"
	ReasonTicketTableFull      = "ticketTableFull"
	ReasonTicketExpired        = "ticketExpired"
	ReasonTicketVoid           = "ticketVoid"
	// ReasonTicketUnverified means that the ticket is not signed with the VMs' shared key.
	ReasonTicketUnverified = "ticketUnverified"
	ReasonTicketRunning    = "ticketRunning"
	ReasonTicketForgotten  = "ticketAnswerForgotten"
	// ReasonIssuerUnreachable means that the issuer could not be reached, so that this attempt did
	// not run.
	ReasonIssuerUnreachable = "ticketIssuerUnreachable"
	// ReasonIssuerSilent means that the issuer was asked and did not answer.
	ReasonIssuerSilent = "ticketIssuerSilent"
)

// The issuer of a ticket gets less than the time left, so that its answer arrives before the
// caller's deadline. The reserve is the time left divided by forwardReserveDivisor, but at most
// maxForwardReserve.
const (
	forwardReserveDivisor = 10
	maxForwardReserve     = 20 * time.Millisecond
)

// ticketRetryAfter is the retry time for callers refused because the table is full.
const ticketRetryAfter = time.Second

// Tickets issues n tickets for a team.
func (dr *Driver) Tickets(teamName string, n int) []string {
	return dr.tickets.issue(dr.now(), teamName, n)
}

func (dr *Driver) withTicket(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	due := dr.now() + dr.timeLimitOf(rq, dr.confOf(rq))
	vd, fr := dr.tickets.begin(dr.now(), rq)
	switch vd.Kind {
	case ticket.VerdictRun:
		return dr.runFirst(ctx, rq, vd.Number, fr)
	case ticket.VerdictWait:
		return dr.awaitFirstRun(ctx, due, fr)
	case ticket.VerdictAnswered:
		return vd.Answer
	case ticket.VerdictElsewhere:
		return dr.forward(ctx, due, vd.Issuer, rq)
	default:
		return dr.ticketRefusal(vd.Kind)
	}
}

// confOf returns the search's configuration, which is empty if this VM has none.
func (dr *Driver) confOf(rq wire.SearchRequest) team.Search {
	tm, _ := dr.cfg.View().Team(rq.Team)
	return tm.Document.Searches[rq.Search]
}

// timeLimitOf returns the time that a search may take: the lowest of the limits of the caller, the
// search's configuration and the driver.
func (dr *Driver) timeLimitOf(rq wire.SearchRequest, conf team.Search) time.Duration {
	budget := dr.cfg.MaxDeadline
	if conf.HardDeadlineMs > 0 {
		budget = min(budget, conf.HardDeadline())
	}
	if rq.DeadlineMs > 0 {
		budget = min(budget, time.Duration(rq.DeadlineMs)*time.Millisecond)
	}
	return budget
}

func (dr *Driver) runFirst(ctx context.Context, rq wire.SearchRequest, number uint64, fr *firstRun) wire.SearchAnswer {
	// If the run panics, those who wait must still be woken, and the search must not run
	// again.
	an := unknownAnswer("internal", "the search ended without an answer")
	defer func() { dr.tickets.finish(number, fr, an) }()
	// The caller may disconnect and repeat the search with the same ticket, so the run goes on
	// without it to provide the answer.
	an = dr.runConfigured(context.WithoutCancel(ctx), rq)
	return an
}

// awaitFirstRun waits for the first run's answer until due, or until its own caller disconnects.
func (dr *Driver) awaitFirstRun(ctx context.Context, due time.Duration, fr *firstRun) wire.SearchAnswer {
	tm := time.NewTimer(due - dr.now())
	defer tm.Stop()
	select {
	case <-fr.done:
		return fr.answer
	case <-tm.C:
	case <-ctx.Done():
	}
	return unknownAnswer(ReasonTicketRunning, "an earlier attempt with this ticket is still running")
}

// forward has the VM that issued the ticket run the search.
func (dr *Driver) forward(ctx context.Context, due time.Duration, to ticket.Issuer, rq wire.SearchRequest) wire.SearchAnswer {
	ctx, cancel := context.WithDeadline(ctx, dr.started.Add(due))
	defer cancel()
	left := due - dr.now()
	left -= min(left/forwardReserveDivisor, maxForwardReserve)
	if left < minSendTime {
		return dr.issuerUnreachable()
	}
	rq.DeadlineMs = left.Milliseconds()
	an, err := dr.cfg.Forward.Run(ctx, to, rq)
	switch {
	case err == nil:
		return an
	case notSent(err):
		return dr.issuerUnreachable()
	default:
		dr.cfg.Meter.Count(meter.Refusal, ReasonIssuerSilent)
		return unknownAnswer(ReasonIssuerSilent, "the VM that issued the ticket was asked and did not answer: this attempt, or an earlier one, may have run")
	}
}

func (dr *Driver) issuerUnreachable() wire.SearchAnswer {
	dr.cfg.Meter.Count(meter.Refusal, ReasonIssuerUnreachable)
	return unknownAnswer(ReasonIssuerUnreachable, "the VM that issued the ticket cannot be reached: this attempt did not run, an earlier one may have")
}

// notSent reports whether a forwarded search was certainly not sent because no connection to the
// issuer could be opened.
func notSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// RunForwarded runs a search that another VM forwarded. It never forwards it again: void is set if
// this process did not issue the ticket.
func (dr *Driver) RunForwarded(ctx context.Context, rq wire.SearchRequest) (an wire.SearchAnswer, void bool) {
	is, ok := ticket.IssuerOf(rq.Ticket)
	if !ok || is.Addr != dr.cfg.Tickets.Addr || is.Incarnation != dr.cfg.Incarnation {
		return dr.ticketRefusal(ticket.VerdictEarlierProcess), true
	}
	return dr.Search(ctx, rq), false
}

func (dr *Driver) ticketRefusal(vk ticket.VerdictKind) wire.SearchAnswer {
	switch vk {
	case ticket.VerdictForged:
		return dr.refuse(ReasonTicketForged, "this is not a ticket, or it was altered")
	case ticket.VerdictOtherTeam:
		return dr.refuse(ReasonTicketOfOtherTeam, "the ticket was issued to another team")
	case ticket.VerdictOtherBody:
		return dr.refuse(ReasonTicketOfOtherRequest, "the ticket was used before with another request")
	case ticket.VerdictFull:
		an := dr.refuse(ReasonTicketTableFull, "this VM remembers as many tickets as it may; come back later")
		an.RetryAfterMs = ticketRetryAfter.Milliseconds()
		return an
	case ticket.VerdictUnverified:
		return dr.refuseUnknown(ReasonTicketUnverified, "the ticket is not signed with this VM's key: its issuer was not asked, an earlier attempt may have run")
	case ticket.VerdictForgotten:
		return dr.refuseUnknown(ReasonTicketForgotten, "an earlier attempt ran; its answer is no longer kept")
	case ticket.VerdictExpired:
		return dr.refuseUnknown(ReasonTicketExpired, "the ticket has expired: this attempt did not run, an earlier one may have")
	default:
		return dr.refuseUnknown(ReasonTicketVoid, "the process that issued the ticket is gone: this attempt did not run, an earlier one may have")
	}
}

func (dr *Driver) refuseUnknown(reason, message string) wire.SearchAnswer {
	dr.cfg.Meter.Count(meter.Refusal, reason)
	return unknownAnswer(reason, message)
}

// unknownAnswer returns the answer for a search of which an earlier attempt may have run. The
// answer notRun would let the caller run it twice.
func unknownAnswer(reason, message string) wire.SearchAnswer {
	return wire.SearchAnswer{Outcome: wire.OutcomeUnknown, Reason: reason, Message: message}
}

// bodyHash hashes the fields that make two requests the same search.
func bodyHash(rq wire.SearchRequest) uint64 {
	di := xxhash.New()
	for _, part := range []string{rq.Team, rq.Search, rq.Register, string(rq.Query)} {
		// Writing to a hash cannot fail.
		_, _ = di.WriteString(part)
		_, _ = di.Write([]byte{0})
	}
	return di.Sum64()
}
