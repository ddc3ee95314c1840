// Package front is the callers' listener: it turns HTTP requests into searches
// and answers into HTTP replies.
//
// # Usage
//
//	fr := front.New(front.Config{Listener: ln, Search: driver, Leaving: node.Leaving})
//	go fr.Serve()
//	fr.Shutdown(ctx)
package front

import (
	"context"
	"net"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/accept"
	"laburnumvane/io/guard"
	"laburnumvane/io/wire"
)

// ReasonLeaving refuses what a VM whose planned stop has begun takes no more.
const ReasonLeaving = "leaving"

// ticketRetryAfter is in seconds; the balancer will have another VM by then.
const ticketRetryAfter = "1"

// Searcher is what the callers' listener asks of the VM.
type Searcher interface {
	Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer
	// Tickets gives none where none can be issued.
	Tickets(team string, n int) []string
}

// Config sets the listener.
type Config struct {
	Listener net.Listener
	Search   Searcher
	// Leaving tells whether a planned stop has begun.
	Leaving func() bool
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// ReadTimeout bounds how long a client may take to send a whole request,
	// and how long a connection is kept without one.
	ReadTimeout time.Duration
	// MaxDeadline bounds deadlineMs.
	MaxDeadline time.Duration
	// TicketTTL is told to those who ask for tickets.
	TicketTTL time.Duration
	// NewID names requests whose caller did not.
	NewID func() string
	// Refused is told of each request that was no search, with the reason.
	Refused func(reason string)
	// Panicked is told of each panic of a handler.
	Panicked func(value any, stack []byte)
	// Log is given each answer.
	Log func(rq wire.SearchRequest, an wire.SearchAnswer)
}

// Front is the callers' listener.
type Front struct {
	*guard.Door
	cfg Config
}

// New makes the listener; Serve starts it.
func New(cfg Config) *Front {
	gc := guard.Config{MaxBody: cfg.MaxBody, RequestTime: cfg.ReadTimeout, Refused: cfg.Refused, Panicked: cfg.Panicked}
	fr := &Front{Door: guard.Open("front", cfg.Listener, gc), cfg: cfg}
	fr.Routes.Use(busy)
	fr.Routes.POST(wire.RouteSearch, fr.search)
	fr.Routes.POST(wire.RouteTickets, fr.tickets)
	fr.Routes.GET(wire.RouteHealth, fr.health)
	return fr
}

// busy keeps a connection from being taken for idle while its request runs.
func busy(ctx context.Context, rc *app.RequestContext) {
	defer accept.Begin(ctx)()
	rc.Next(ctx)
}

func (fr *Front) search(ctx context.Context, rc *app.RequestContext) {
	rq, refusal := fr.decode(rc)
	if rq.ID != "" {
		rc.Header(wire.HeaderRequestID, rq.ID)
	}
	if refusal != nil {
		refusal.ID = rq.ID
		fr.refuse(rc, refusal)
		return
	}
	an := fr.run(ctx, rq)
	fr.cfg.Log(rq, an)
	if an.RetryAfterMs > 0 {
		rc.Header("Retry-After", strconv.FormatInt(retryAfterSeconds(an.RetryAfterMs), 10))
	}
	fr.reply(rc, statusOf(an), an)
}

// run answers also for a search that panicked: it may have run, and a caller
// that is told anything else could run it twice.
func (fr *Front) run(ctx context.Context, rq wire.SearchRequest) (an wire.SearchAnswer) {
	defer func() {
		if value := recover(); value != nil {
			fr.cfg.Panicked(value, debug.Stack())
			an = wire.SearchAnswer{
				ID: rq.ID, Outcome: wire.OutcomeUnknown, Reason: guard.ReasonInternal,
				Message: "a fault of this VM ended the search; it may have run", Hits: []wire.Hit{},
			}
		}
	}()
	return fr.cfg.Search.Search(ctx, rq)
}

// retryAfterSeconds rounds up: the header has whole seconds, and coming back too
// early earns another refusal.
func retryAfterSeconds(ms int64) int64 {
	return (ms + 999) / 1000
}

func (fr *Front) tickets(_ context.Context, rc *app.RequestContext) {
	rq, refusal := decodeTickets(rc)
	if refusal != nil {
		fr.refuse(rc, refusal)
		return
	}
	tickets := fr.cfg.Search.Tickets(rq.Team, rq.Count)
	if len(tickets) == 0 {
		// A ticket of a VM that is leaving would be void when it is used.
		rc.Header("Retry-After", ticketRetryAfter)
		fr.refuse(rc, leaving("this VM is leaving and no other can issue tickets"))
		return
	}
	fr.reply(rc, consts.StatusOK, wire.TicketReply{
		Tickets:   tickets,
		ExpiresMs: fr.cfg.TicketTTL.Milliseconds(),
	})
}

func (fr *Front) health(_ context.Context, rc *app.RequestContext) {
	if fr.cfg.Leaving() {
		fr.refuse(rc, leaving("a planned stop has begun"))
		return
	}
	fr.reply(rc, consts.StatusOK, struct {
		State string `json:"state"`
	}{"serving"})
}

func leaving(message string) *refusal {
	return &refusal{status: consts.StatusServiceUnavailable, ErrorReply: wire.ErrorReply{Error: message, Reason: ReasonLeaving}}
}

func (fr *Front) refuse(rc *app.RequestContext, rf *refusal) {
	fr.closeIfLeaving(rc)
	guard.Refuse(rc, rf.status, rf.ErrorReply)
}

func (fr *Front) reply(rc *app.RequestContext, status int, body any) {
	fr.closeIfLeaving(rc)
	rc.JSON(status, body)
}

// closeIfLeaving ends the connection with the answer of a VM that is leaving:
// the balancer may still send requests on it, and so the client moves to
// another VM without a cut.
func (fr *Front) closeIfLeaving(rc *app.RequestContext) {
	if fr.cfg.Leaving() {
		rc.SetConnectionClose()
	}
}
