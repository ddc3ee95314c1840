package front

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/guard"
	"laburnumvane/io/wire"
)

const (
	maxIDLen   = 128
	maxTickets = 1000
	// maxNameLen limits the names of teams, searches and registers, in bytes. A longer name
	// cannot be configured, and would be repeated in the error message.
	maxNameLen = 256
	// maxTicketLen, in bytes, is far above the length of any issued ticket.
	maxTicketLen = 1024
)

// searchBody is the JSON body of a search. The deadline is a pointer because an explicit 0 is an
// error, while an absent one means the configured deadline of the search.
type searchBody struct {
	ID          string          `json:"id"`
	Team        string          `json:"team"`
	Search      string          `json:"search"`
	Register    string          `json:"register"`
	Query       json.RawMessage `json:"query"`
	DeadlineMs  *int64          `json:"deadlineMs"`
	MinCoverage *float64        `json:"minCoverage"`
	Repeat      wire.Repeat     `json:"repeat"`
	Ticket      string          `json:"ticket"`
}

func (sb searchBody) request() wire.SearchRequest {
	rq := wire.SearchRequest{
		ID:          sb.ID,
		Team:        sb.Team,
		Search:      sb.Search,
		Register:    sb.Register,
		Query:       sb.Query,
		MinCoverage: sb.MinCoverage,
		Repeat:      sb.Repeat,
		Ticket:      sb.Ticket,
	}
	if sb.DeadlineMs != nil {
		rq.DeadlineMs = *sb.DeadlineMs
	}
	return rq
}

// refusal is an error reply to a request that was not run, with its HTTP status.
type refusal struct {
	wire.ErrorReply
	status int
}

// decode decodes a search. The decoder copies all data that is used after the handler returns,
// because the library reuses the body's buffer. The returned request has its id even if it is
// refused, unless the id itself is invalid.
func (fr *Front) decode(rc *app.RequestContext) (wire.SearchRequest, *refusal) {
	id := string(rc.GetHeader(wire.HeaderRequestID))
	if id == "" {
		id = fr.cfg.NewID()
	}
	if er := checkID(id); er != nil {
		return wire.SearchRequest{}, toRefusal(er)
	}
	var sb searchBody
	if rf := decodeBody(rc, &sb); rf != nil {
		return wire.SearchRequest{ID: id}, rf
	}
	if sb.ID == "" {
		sb.ID = id
	}
	rq := sb.request()
	if er := checkID(rq.ID); er != nil {
		return wire.SearchRequest{ID: id}, toRefusal(er)
	}
	if er := fr.check(sb); er != nil {
		return rq, toRefusal(er)
	}
	return rq, nil
}

func decodeTickets(rc *app.RequestContext) (wire.TicketRequest, *refusal) {
	var tb struct {
		Team  string `json:"team"`
		Count *int   `json:"count"`
	}
	if rf := decodeBody(rc, &tb); rf != nil {
		return wire.TicketRequest{}, rf
	}
	rq := wire.TicketRequest{Team: tb.Team, Count: 1}
	if tb.Count != nil {
		rq.Count = *tb.Count
	}
	if er := checkTickets(rq); er != nil {
		return rq, toRefusal(er)
	}
	return rq, nil
}

// decodeBody decodes a body into out.
func decodeBody(rc *app.RequestContext, out any) *refusal {
	body, er := guard.Body(rc)
	if er != nil {
		return toRefusal(er)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return toRefusal(guard.DecodeError(err))
	}
	return nil
}

func toRefusal(er *wire.ErrorReply) *refusal {
	status := consts.StatusBadRequest
	if er.Reason == guard.ReasonMediaType {
		status = consts.StatusUnsupportedMediaType
	}
	return &refusal{ErrorReply: *er, status: status}
}

// checkID accepts only ids that are safe in a header and on one line of a log: a line break in an
// id would inject another header.
func checkID(id string) *wire.ErrorReply {
	if len(id) > maxIDLen {
		return guard.BadField("id", fmt.Sprintf("is longer than %d bytes", maxIDLen))
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return guard.BadField("id", "must be of visible ASCII characters")
		}
	}
	return nil
}

func (fr *Front) check(sb searchBody) *wire.ErrorReply {
	for _, nm := range []struct {
		path, value string
		maxLen      int
		required    bool
	}{
		{"team", sb.Team, maxNameLen, true},
		{"search", sb.Search, maxNameLen, true},
		{"register", sb.Register, maxNameLen, false},
		{"ticket", sb.Ticket, maxTicketLen, false},
	} {
		switch {
		case nm.required && nm.value == "":
			return guard.BadField(nm.path, "is absent")
		case len(nm.value) > nm.maxLen:
			return guard.BadField(nm.path, fmt.Sprintf("is longer than %d bytes", nm.maxLen))
		}
	}
	if er := checkQuery(sb.Query); er != nil {
		return er
	}
	return fr.checkBounds(sb)
}

func checkQuery(query json.RawMessage) *wire.ErrorReply {
	switch trimmed := bytes.TrimLeft(query, " \t\r\n"); {
	case len(trimmed) == 0 || string(trimmed) == "null":
		return guard.BadField("query", "is absent")
	case trimmed[0] != '{':
		return guard.BadField("query", "must be an object")
	}
	return nil
}

func (fr *Front) checkBounds(sb searchBody) *wire.ErrorReply {
	maxMillis := fr.cfg.MaxDeadline.Milliseconds()
	switch {
	case sb.DeadlineMs != nil && (*sb.DeadlineMs < 1 || *sb.DeadlineMs > maxMillis):
		return guard.BadField("deadlineMs", fmt.Sprintf("must be between 1 and %d; leave it out for the search's own", maxMillis))
	case sb.MinCoverage != nil && (*sb.MinCoverage < 0 || *sb.MinCoverage > 1):
		return guard.BadField("minCoverage", "must be between 0 and 1")
	case sb.Repeat != "" && sb.Repeat != wire.RepeatSafe && sb.Repeat != wire.RepeatNever:
		return guard.BadField("repeat", `must be "safe" or "never"`)
	}
	return nil
}

func checkTickets(rq wire.TicketRequest) *wire.ErrorReply {
	switch {
	case rq.Team == "":
		return guard.BadField("team", "is absent")
	case len(rq.Team) > maxNameLen:
		return guard.BadField("team", fmt.Sprintf("is longer than %d bytes", maxNameLen))
	case rq.Count < 1 || rq.Count > maxTickets:
		return guard.BadField("count", fmt.Sprintf("must be between 1 and %d", maxTickets))
	}
	return nil
}
