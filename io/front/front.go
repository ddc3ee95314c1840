// Package front is the HTTP API for callers: it decodes HTTP requests into searches and encodes
// their answers as HTTP replies.
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

// ReasonLeaving is the reason of refusals by a VM whose planned shutdown has begun.
const ReasonLeaving = "leaving"

// ticketRetryAfter is a Retry-After value in seconds. By then the load balancer should use another
// VM.
const ticketRetryAfter = "1"

// Searcher is the VM's search service, as this package uses it.
type Searcher interface {
	Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer
	// Tickets returns n tickets, or none if none can be issued.
	Tickets(team string, n int) []string
}

// Config configures a Front.
type Config struct {
	Listener net.Listener
	Search   Searcher
	// Leaving reports whether a planned shutdown has begun.
	Leaving func() bool
	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int
	// ReadTimeout limits how long a client may take to send a whole request, and how long an
	// idle connection is kept.
	ReadTimeout time.Duration
	// MaxDeadline is the maximum of deadlineMs.
	MaxDeadline time.Duration
	// TicketTTL is the time to live of tickets, which is sent with them.
	TicketTTL time.Duration
	// NewID returns an id for a request that has none.
	NewID func() string
	// Refused is called for each request that was refused before a search, with the reason.
	Refused func(reason string)
	// Panicked is called for each panic of a handler.
	Panicked func(value any, stack []byte)
	// Log is called with each search and its answer.
	Log func(rq wire.SearchRequest, an wire.SearchAnswer)
}

// Front is the HTTP server for callers.
type Front struct {
	*guard.Server
	cfg Config
}

// New returns a Front that is not serving; Serve starts it.
func New(cfg Config) *Front {
	gc := guard.Config{MaxBody: cfg.MaxBody, RequestTime: cfg.ReadTimeout, Refused: cfg.Refused, Panicked: cfg.Panicked}
	fr := &Front{Server: guard.NewServer("front", cfg.Listener, gc), cfg: cfg}
	fr.Routes.Use(markActive)
	fr.Routes.POST(wire.RouteSearch, fr.handleSearch)
	fr.Routes.POST(wire.RouteTickets, fr.handleTickets)
	fr.Routes.GET(wire.RouteHealth, fr.handleHealth)
	return fr
}

// markActive is middleware that marks a connection as active while its request runs, so that a
// shutdown does not close it as idle.
func markActive(ctx context.Context, rc *app.RequestContext) {
	defer accept.BeginRequest(ctx)()
	rc.Next(ctx)
}

func (fr *Front) handleSearch(ctx context.Context, rc *app.RequestContext) {
	rq, rf := fr.decode(rc)
	if rq.ID != "" {
		rc.Header(wire.HeaderRequestID, rq.ID)
	}
	if rf != nil {
		rf.ID = rq.ID
		fr.refuse(rc, rf)
		return
	}
	an := fr.run(ctx, rq)
	fr.cfg.Log(rq, an)
	if an.RetryAfterMs > 0 {
		rc.Header("Retry-After", strconv.FormatInt(retryAfterSeconds(an.RetryAfterMs), 10))
	}
	fr.reply(rc, statusOf(an), an)
}

// run runs a search. If it panics, the outcome is unknown: parts of the search may have run, and
// with any other outcome the caller might run it again.
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

// retryAfterSeconds rounds up to the whole seconds of the header, because a retry that comes too
// early is refused again.
func retryAfterSeconds(ms int64) int64 {
	return (ms + 999) / 1000
}

func (fr *Front) handleTickets(_ context.Context, rc *app.RequestContext) {
	rq, rf := decodeTickets(rc)
	if rf != nil {
		fr.refuse(rc, rf)
		return
	}
	tickets := fr.cfg.Search.Tickets(rq.Team, rq.Count)
	if len(tickets) == 0 {
		// A ticket issued by a VM that is leaving would be invalid when it is used.
		rc.Header("Retry-After", ticketRetryAfter)
		fr.refuse(rc, leavingRefusal("this VM is leaving and no other can issue tickets"))
		return
	}
	fr.reply(rc, consts.StatusOK, wire.TicketReply{
		Tickets:   tickets,
		ExpiresMs: fr.cfg.TicketTTL.Milliseconds(),
	})
}

func (fr *Front) handleHealth(_ context.Context, rc *app.RequestContext) {
	if fr.cfg.Leaving() {
		fr.refuse(rc, leavingRefusal("a planned stop has begun"))
		return
	}
	fr.reply(rc, consts.StatusOK, struct {
		State string `json:"state"`
	}{"serving"})
}

func leavingRefusal(message string) *refusal {
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

// closeIfLeaving closes the connection after this answer if the VM is leaving: the load balancer
// could otherwise send further requests on it. The client moves to another VM without a request
// being aborted.
func (fr *Front) closeIfLeaving(rc *app.RequestContext) {
	if fr.cfg.Leaving() {
		rc.SetConnectionClose()
	}
}
