// Package oper is the operators' listener: configuration, the state of changes,
// status and metrics of a VM.
//
// # Usage
//
//	op := oper.New(oper.Config{Listener: ln, Operator: node, Token: token, TeamTokens: tokens})
//	go op.Serve()
//	op.Shutdown(ctx)
//
// With a token set every call but the health check needs it as a bearer token; a
// team's own token reads everything and changes that team's configuration only.
//
// A change names the revision that it was made from in If-Match, as GET gave it
// in ETag; "*" overwrites whatever is in force. Without If-Match it is refused
// with 428, and where another change came first, with 412 and that change.
package oper

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/accept"
	"laburnumvane/io/guard"
	"laburnumvane/io/wire"
)

// Proposal is an operator's change.
type Proposal struct {
	// ID names the change; empty lets the VM choose.
	ID       string
	Team     string
	Document []byte
	Actor    string
	// Expect is the revision that the operator saw; nil means any.
	Expect *uint64
	DryRun bool
}

// Operator is what the listener asks of the VM.
type Operator interface {
	Config(team string) (wire.ConfigReply, bool)
	// Change proposes; the error tells what is wrong with the document.
	Change(ctx context.Context, pr Proposal) (wire.ChangeReply, error)
	History(ctx context.Context, team string) (wire.HistoryReply, error)
	ChangeStatus(ctx context.Context, id string) wire.ChangeStatus
	Status() wire.Status
	Metrics() map[string]float64
	// SetLogLevel fails for a level that does not exist.
	SetLogLevel(level string) error
	Leaving() bool
}

// Config sets the listener.
type Config struct {
	Listener net.Listener
	Operator Operator
	// Token is the operators' bearer token; empty only on loopback.
	Token string
	// TeamTokens are the teams' own tokens, by team.
	TeamTokens  map[string]string
	MaxBody     int
	ReadTimeout time.Duration
	// Refused is told of each refusal, with its reason; it may be nil.
	Refused func(reason string)
	// Panicked is told of each panic of a handler; it may be nil.
	Panicked func(value any, stack []byte)
}

// Reasons of this listener's refusals, beside those of package guard.
const (
	ReasonUnauthorized = "unauthorized"
	ReasonOtherTeam    = "otherTeam"
	ReasonNoConfig     = "noConfig"
	ReasonInvalid      = "invalid"
	ReasonPlatform     = "platform"
	ReasonLeaving      = "leaving"
	// ReasonNoRevision refuses a change that does not say which revision it
	// was made from: it would overwrite one that its operator has not seen.
	ReasonNoRevision = "preconditionRequired"
)

// Oper is the operators' listener.
type Oper struct {
	*guard.Door
	cfg Config
}

// New makes the listener; Serve starts it.
func New(cfg Config) *Oper {
	gc := guard.Config{MaxBody: cfg.MaxBody, RequestTime: cfg.ReadTimeout, Refused: cfg.Refused, Panicked: cfg.Panicked}
	op := &Oper{Door: guard.Open("oper", cfg.Listener, gc), cfg: cfg}
	op.Routes.Use(op.busy)
	op.Routes.GET(wire.RouteHealth, op.health)
	op.Routes.Use(op.authorize)
	op.Routes.GET(wire.RouteConfig, op.getConfig)
	op.Routes.PUT(wire.RouteConfig, op.putConfig)
	op.Routes.GET(wire.RouteHistory, op.history)
	op.Routes.GET(wire.RouteChange, op.change)
	op.Routes.GET(wire.RouteStatus, op.status)
	op.Routes.GET(wire.RouteMetrics, op.metrics)
	op.Routes.PUT(wire.RouteLog, op.logLevel)
	return op
}

// busy keeps a connection from being taken for idle while its request runs, and
// closes it with the answer once the VM is leaving.
func (op *Oper) busy(ctx context.Context, rc *app.RequestContext) {
	defer accept.Begin(ctx)()
	rc.Next(ctx)
	if op.cfg.Operator.Leaving() {
		rc.SetConnectionClose()
	}
}

func (op *Oper) getConfig(_ context.Context, rc *app.RequestContext) {
	cr, ok := op.cfg.Operator.Config(rc.Param("team"))
	if !ok {
		refuse(rc, consts.StatusNotFound, ReasonNoConfig, "this VM holds no configuration of the team")
		return
	}
	rc.Header("ETag", etag(cr.Revision))
	rc.JSON(consts.StatusOK, cr)
}

func statusOf(result wire.ChangeResult) int {
	switch result {
	case wire.ChangeAccepted, wire.ChangeDryRun:
		return consts.StatusOK
	case wire.ChangeConflict:
		return consts.StatusPreconditionFailed
	case wire.ChangeRefused:
		return consts.StatusServiceUnavailable
	default:
		return consts.StatusGatewayTimeout
	}
}

func (op *Oper) history(ctx context.Context, rc *app.RequestContext) {
	hr, err := op.cfg.Operator.History(ctx, rc.Param("team"))
	if err != nil {
		refuse(rc, consts.StatusServiceUnavailable, ReasonPlatform, err.Error())
		return
	}
	rc.JSON(consts.StatusOK, hr)
}

func (op *Oper) change(ctx context.Context, rc *app.RequestContext) {
	rc.JSON(consts.StatusOK, op.cfg.Operator.ChangeStatus(ctx, rc.Param("id")))
}

func (op *Oper) status(_ context.Context, rc *app.RequestContext) {
	rc.JSON(consts.StatusOK, op.cfg.Operator.Status())
}

func (op *Oper) metrics(_ context.Context, rc *app.RequestContext) {
	rc.JSON(consts.StatusOK, op.cfg.Operator.Metrics())
}

func (op *Oper) logLevel(_ context.Context, rc *app.RequestContext) {
	var rq struct {
		Level string `json:"level"`
	}
	body, er := guard.Body(rc)
	if er != nil {
		guard.Refuse(rc, consts.StatusUnsupportedMediaType, *er)
		return
	}
	if err := json.Unmarshal(body, &rq); err != nil {
		guard.Refuse(rc, consts.StatusBadRequest, *guard.DecodeError(err))
		return
	}
	if err := op.cfg.Operator.SetLogLevel(rq.Level); err != nil {
		guard.Refuse(rc, consts.StatusBadRequest, wire.ErrorReply{Error: err.Error(), Reason: guard.ReasonBadRequest, Path: "level"})
		return
	}
	rc.JSON(consts.StatusOK, rq)
}

func (op *Oper) health(_ context.Context, rc *app.RequestContext) {
	if op.cfg.Operator.Leaving() {
		refuse(rc, consts.StatusServiceUnavailable, ReasonLeaving, "a planned stop has begun")
		return
	}
	rc.JSON(consts.StatusOK, struct {
		State string `json:"state"`
	}{"serving"})
}

func refuse(rc *app.RequestContext, status int, reason, message string) {
	guard.Refuse(rc, status, wire.ErrorReply{Error: message, Reason: reason})
}
