package client

import (
	"context"
	"encoding/json"
	"net/http"

	"laburnumvane/io/wire"
)

// Caller is a client of a VM's listener for callers. It is safe for concurrent use.
type Caller struct {
	cn *conn
}

// NewCaller returns a Caller. It opens no connection.
func NewCaller(cfg Config) (*Caller, error) {
	cn, err := newConn("client.NewCaller", cfg)
	if err != nil {
		return nil, err
	}
	return &Caller{cn: cn}, nil
}

// Search runs one search. It returns every answer without an error, also the answer that a
// search did not run or that its fate is unknown. An *Error of KindUnknown must be treated like
// an answer with OutcomeUnknown.
func (clr *Caller) Search(ctx context.Context, req wire.SearchRequest) (wire.SearchAnswer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return wire.SearchAnswer{}, &Error{Op: "client.Search", Kind: KindInvalid, Err: err}
	}
	cl := call{op: "client.Search", method: http.MethodPost, path: wire.RouteSearch, header: http.Header{}, body: body, hasEffect: true}
	if req.ID != "" {
		cl.header.Set(wire.HeaderRequestID, req.ID)
	}
	rep, err := clr.cn.do(ctx, cl)
	if err != nil {
		return wire.SearchAnswer{}, err
	}
	var ans wire.SearchAnswer
	if err := json.Unmarshal(rep.body, &ans); err == nil && isOutcome(ans.Outcome) {
		return ans, nil
	}
	if rep.status == http.StatusOK {
		return wire.SearchAnswer{}, &Error{Op: cl.op, Kind: KindUnknown, Status: rep.status, Msg: "the reply is no answer"}
	}
	return wire.SearchAnswer{}, cl.refusalError(rep)
}

// Tickets requests tickets. Each allows one search that must not be repeated.
func (clr *Caller) Tickets(ctx context.Context, req wire.TicketRequest) (wire.TicketReply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return wire.TicketReply{}, &Error{Op: "client.Tickets", Kind: KindInvalid, Err: err}
	}
	var rep wire.TicketReply
	cl := call{op: "client.Tickets", method: http.MethodPost, path: wire.RouteTickets, body: body}
	if err := clr.cn.doJSON(ctx, cl, &rep); err != nil {
		return wire.TicketReply{}, err
	}
	return rep, nil
}

// Health returns nil while the VM accepts work.
func (clr *Caller) Health(ctx context.Context) error {
	return health(ctx, clr.cn)
}

func health(ctx context.Context, cn *conn) error {
	cl := call{op: "client.Health", method: http.MethodGet, path: wire.RouteHealth}
	rep, err := cn.do(ctx, cl)
	if err != nil {
		return err
	}
	if rep.status != http.StatusOK {
		return cl.refusalError(rep)
	}
	return nil
}

func isOutcome(out wire.Outcome) bool {
	switch out {
	case wire.OutcomeComplete, wire.OutcomePartial, wire.OutcomeNotRun, wire.OutcomeUnknown:
		return true
	}
	return false
}
