package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"

	"laburnumvane/io/wire"
)

// headerActor is the header with the name of the person who makes a change.
const headerActor = "X-Actor"

// Operator is a client of a VM's listener for operators. It is safe for concurrent use.
type Operator struct {
	cn *conn
}

// NewOperator returns an Operator. It opens no connection.
func NewOperator(cfg Config) (*Operator, error) {
	cn, err := newConn("client.NewOperator", cfg)
	if err != nil {
		return nil, err
	}
	return &Operator{cn: cn}, nil
}

// Change is a new document for a team.
type Change struct {
	Team     string
	Document json.RawMessage
	// IfRevision is the revision that the change is based on; 0 means that the team must not
	// have a document yet.
	IfRevision uint64
	// DryRun makes the VM check the change without making it.
	DryRun bool
	// ID identifies the change; if it is empty the VM chooses one. With its own id the caller
	// can ask for the status of a change whose reply was lost, and repeat the change.
	ID string
	// Actor is the person who makes the change, as recorded in the history.
	Actor string
}

// Config returns the document that applies to a team.
func (opr *Operator) Config(ctx context.Context, team string) (wire.ConfigReply, error) {
	var rep wire.ConfigReply
	cl := call{op: "client.Config", method: http.MethodGet, path: pathOf(wire.RouteConfig, "team", team)}
	if err := opr.cn.doJSON(ctx, cl, &rep); err != nil {
		return wire.ConfigReply{}, err
	}
	return rep, nil
}

// SetConfig proposes a change. If the change was not made, or the VM does not know whether it
// was, it returns a reply with that Result and no error. An *Error of KindUnknown means that the
// reply was lost: the caller can ask ChangeStatus for the change's ID, or propose the same
// change with the same ID again.
func (opr *Operator) SetConfig(ctx context.Context, chg Change) (wire.ChangeReply, error) {
	cl := call{
		op: "client.SetConfig", method: http.MethodPut, path: pathOf(wire.RouteConfig, "team", chg.Team),
		query: url.Values{}, header: http.Header{}, body: chg.Document, hasEffect: !chg.DryRun,
	}
	cl.header.Set("If-Match", strconv.Quote(strconv.FormatUint(chg.IfRevision, 10)))
	if chg.Actor != "" {
		cl.header.Set(headerActor, chg.Actor)
	}
	if chg.DryRun {
		cl.query.Set("dryRun", "true")
	}
	if chg.ID != "" {
		cl.query.Set("id", chg.ID)
	}
	rep, err := opr.cn.do(ctx, cl)
	if err != nil {
		return wire.ChangeReply{}, err
	}
	var cr wire.ChangeReply
	if err := json.Unmarshal(rep.body, &cr); err == nil && isResult(cr.Result) {
		return cr, nil
	}
	if rep.status == http.StatusOK {
		return wire.ChangeReply{}, cl.replyError(rep.status, errors.New("it holds no result"))
	}
	return wire.ChangeReply{}, cl.refusalError(rep)
}

// History lists a team's last changes, newest first.
func (opr *Operator) History(ctx context.Context, team string) (wire.HistoryReply, error) {
	var rep wire.HistoryReply
	cl := call{op: "client.History", method: http.MethodGet, path: pathOf(wire.RouteHistory, "team", team)}
	if err := opr.cn.doJSON(ctx, cl, &rep); err != nil {
		return wire.HistoryReply{}, err
	}
	return rep, nil
}

// ChangeStatus returns on which VMs a change is applied.
func (opr *Operator) ChangeStatus(ctx context.Context, id string) (wire.ChangeStatus, error) {
	var rep wire.ChangeStatus
	cl := call{op: "client.ChangeStatus", method: http.MethodGet, path: pathOf(wire.RouteChange, "id", id)}
	if err := opr.cn.doJSON(ctx, cl, &rep); err != nil {
		return wire.ChangeStatus{}, err
	}
	return rep, nil
}

// Status returns the VM's view of itself, the other VMs and its upstreams.
func (opr *Operator) Status(ctx context.Context) (wire.Status, error) {
	var rep wire.Status
	cl := call{op: "client.Status", method: http.MethodGet, path: wire.RouteStatus}
	if err := opr.cn.doJSON(ctx, cl, &rep); err != nil {
		return wire.Status{}, err
	}
	return rep, nil
}

// Metrics returns the VM's counters, gauges and histograms as JSON.
func (opr *Operator) Metrics(ctx context.Context) (json.RawMessage, error) {
	var rep json.RawMessage
	cl := call{op: "client.Metrics", method: http.MethodGet, path: wire.RouteMetrics}
	if err := opr.cn.doJSON(ctx, cl, &rep); err != nil {
		return nil, err
	}
	return rep, nil
}

// Health returns nil while the VM accepts work.
func (opr *Operator) Health(ctx context.Context) error {
	return health(ctx, opr.cn)
}

func isResult(res wire.ChangeResult) bool {
	switch res {
	case wire.ChangeAccepted, wire.ChangeConflict, wire.ChangeUnknown, wire.ChangeDryRun, wire.ChangeRefused:
		return true
	}
	return false
}
