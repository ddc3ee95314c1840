// Package oper is the operators' listener of a VM. It serves configuration, the status of changes,
// the VM's status and metrics, and the log level.
//
// # Usage
//
//	op := oper.New(oper.Config{Listener: ln, Operator: node, Token: token, TeamTokens: tokens})
//	go op.Serve()
//	op.Shutdown(ctx)
//
// If a token is set, every call but the health check needs a bearer token: the operators' token, or
// a team's own token, which may read everything and change only that team's configuration.
//
// A change has the revision that it was made from in If-Match, as returned by GET in ETag; "*"
// overwrites any revision. A change without If-Match is refused with 428. If another change came
// first, the change is refused with 412, and the reply has the other change.
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
	// ID identifies the change. If it is empty, the VM generates one.
	ID       string
	Team     string
	Document []byte
	Actor    string
	// Expect is the revision that the change was made from; nil means any.
	Expect *uint64
	DryRun bool
}

// Operator is the VM's side of the operators' interface.
type Operator interface {
	Config(team string) (wire.ConfigReply, bool)
	// Change proposes a change. The error says what is wrong with the proposal.
	Change(ctx context.Context, pr Proposal) (wire.ChangeReply, error)
	History(ctx context.Context, team string) (wire.HistoryReply, error)
	ChangeStatus(ctx context.Context, id string) wire.ChangeStatus
	Status() wire.Status
	Metrics() map[string]float64
	// SetLogLevel returns an error for an unknown level.
	SetLogLevel(level string) error
	Leaving() bool
}

// Config configures the listener.
type Config struct {
	Listener net.Listener
	Operator Operator
	// Token is the operators' bearer token. If it is empty, no call needs a token, so it must
	// only be empty on loopback.
	Token string
	// TeamTokens are the teams' own tokens, by team.
	TeamTokens  map[string]string
	MaxBody     int
	ReadTimeout time.Duration
	// Refused is called with the reason of each refusal; it may be nil.
	Refused func(reason string)
	// Panicked is called for each panic of a handler; it may be nil.
	Panicked func(value any, stack []byte)
}

// Reasons of this listener's refusals, in addition to those of package guard.
const (
	ReasonUnauthorized = "unauthorized"
	ReasonOtherTeam    = "otherTeam"
	ReasonNoConfig     = "noConfig"
	ReasonInvalid      = "invalid"
	ReasonPlatform     = "platform"
	ReasonLeaving      = "leaving"
	// ReasonNoRevision is the reason for refusing a change without the revision that it was
	// made from: it could overwrite a change that its operator has not seen.
	ReasonNoRevision = "preconditionRequired"
)

// Oper is the operators' listener.
type Oper struct {
	*guard.Server
	cfg Config
}

// New returns the listener, which Serve starts.
func New(cfg Config) *Oper {
	gc := guard.Config{MaxBody: cfg.MaxBody, RequestTime: cfg.ReadTimeout, Refused: cfg.Refused, Panicked: cfg.Panicked}
	op := &Oper{Server: guard.NewServer("oper", cfg.Listener, gc), cfg: cfg}
	op.Routes.Use(op.trackRequest)
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

// trackRequest marks a connection as in use while its request runs. If the VM is leaving, it closes
// the connection after the answer.
func (op *Oper) trackRequest(ctx context.Context, rc *app.RequestContext) {
	defer accept.BeginRequest(ctx)()
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
