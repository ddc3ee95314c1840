package drive

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumvane/core/team"
	"laburnumvane/core/ticket"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// Reasons of answers to searches with tickets.
const (
	ReasonTicketForged   = "ticketForged"
	ReasonTicketTeam     = "ticketOfOtherTeam"
	ReasonTicketBody     = "ticketOfOtherRequest"
	ReasonTicketFull     = "ticketTableFull"
	ReasonTicketExpired  = "ticketExpired"
	ReasonTicketVoid     = "ticketVoid"
	ReasonTicketRunning  = "ticketRunning"
	ReasonIssuerSilent   = "ticketIssuerUnreachable"
	ReasonForwardedTwice = "ticketForwardedTwice"
)

// gate guards the ticket table and wakes those who wait for a first run.
type gate struct {
	mu      sync.Mutex
	table   *ticket.Table[wire.SearchAnswer]
	waiting map[uint64]chan struct{}
}

func newGate(cfg ticket.Config) *gate {
	return &gate{
		table:   ticket.New[wire.SearchAnswer](cfg),
		waiting: make(map[uint64]chan struct{}),
	}
}

// Tickets issues n tickets for a team.
func (dr *Driver) Tickets(teamName string, n int) []string {
	ga := dr.tickets
	ga.mu.Lock()
	defer ga.mu.Unlock()
	out := make([]string, n)
	for i := range out {
		out[i] = ga.table.Issue(dr.now(), teamName)
	}
	return out
}

func (dr *Driver) withTicket(ctx context.Context, vw *view.View, rq wire.SearchRequest, conf team.Search) wire.SearchAnswer {
	ga := dr.tickets
	ga.mu.Lock()
	vd := ga.table.Begin(dr.now(), rq.Ticket, rq.Team, bodyHash(rq))
	var done chan struct{}
	switch vd.Kind {
	case ticket.VerdictRun:
		ga.waiting[vd.Number] = make(chan struct{})
	case ticket.VerdictWait:
		done = ga.waiting[vd.Number]
	}
	ga.mu.Unlock()
	switch vd.Kind {
	case ticket.VerdictRun:
		return dr.firstRun(ctx, vw, rq, conf, vd.Number)
	case ticket.VerdictWait:
		return dr.await(ctx, rq, done)
	case ticket.VerdictAnswered:
		return vd.Answer
	case ticket.VerdictElsewhere:
		return dr.forward(ctx, vd.Issuer, rq)
	default:
		return dr.ticketRefusal(vd.Kind)
	}
}

func (dr *Driver) firstRun(ctx context.Context, vw *view.View, rq wire.SearchRequest, conf team.Search, number uint64) wire.SearchAnswer {
	// The caller may go away and come back with the same ticket: the run
	// goes on for the answer it will then be given.
	an := dr.execute(context.WithoutCancel(ctx), vw, rq, conf, true)
	ga := dr.tickets
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.table.Finish(number, an)
	close(ga.waiting[number])
	delete(ga.waiting, number)
	return an
}

func (dr *Driver) await(ctx context.Context, rq wire.SearchRequest, done chan struct{}) wire.SearchAnswer {
	select {
	case <-done:
		return dr.replay(rq)
	case <-ctx.Done():
		return unknown(ReasonTicketRunning, "an earlier attempt with this ticket is still running")
	}
}

func (dr *Driver) replay(rq wire.SearchRequest) wire.SearchAnswer {
	ga := dr.tickets
	ga.mu.Lock()
	defer ga.mu.Unlock()
	vd := ga.table.Begin(dr.now(), rq.Ticket, rq.Team, bodyHash(rq))
	if vd.Kind == ticket.VerdictAnswered {
		return vd.Answer
	}
	return unknown(ReasonTicketExpired, "the ticket expired while its search ran")
}

func (dr *Driver) forward(ctx context.Context, to ticket.Issuer, rq wire.SearchRequest) wire.SearchAnswer {
	an, err := dr.cfg.Forward.Run(ctx, to, rq)
	if err != nil {
		dr.cfg.Meter.Count(meter.Refusal, ReasonIssuerSilent)
		return unknown(ReasonIssuerSilent, "the VM that issued the ticket could not be asked; an earlier attempt may have run")
	}
	return an
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
		return dr.refuse(ReasonTicketFull, "this VM remembers as many tickets as it may; come back later")
	case ticket.VerdictExpired:
		dr.cfg.Meter.Count(meter.Refusal, ReasonTicketExpired)
		return unknown(ReasonTicketExpired, "the ticket has expired: this attempt did not run, an earlier one may have")
	default:
		dr.cfg.Meter.Count(meter.Refusal, ReasonTicketVoid)
		return unknown(ReasonTicketVoid, "the process that issued the ticket is gone: this attempt did not run, an earlier one may have")
	}
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
