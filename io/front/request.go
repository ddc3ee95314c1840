package front

import (
	"encoding/json"
	"fmt"

	"github.com/cloudwego/hertz/pkg/app"

	"laburnumvane/io/wire"
)

const (
	maxIDLen   = 128
	maxTickets = 1000
)

// Reasons of refusals that are no answers to a search.
const reasonBadRequest = "badRequest"

// decode reads a search. Everything that outlives the handler is copied by the
// decoder: the library recycles the body's buffer.
func (fr *Front) decode(rc *app.RequestContext) (wire.SearchRequest, *wire.ErrorReply) {
	var rq wire.SearchRequest
	if err := json.Unmarshal(rc.Request.Body(), &rq); err != nil {
		return rq, decodeFault(err)
	}
	if rq.ID == "" {
		rq.ID = string(rc.GetHeader(wire.HeaderRequestID))
	}
	if rq.ID == "" {
		rq.ID = fr.cfg.NewID()
	}
	return rq, fr.check(rq)
}

func (fr *Front) check(rq wire.SearchRequest) *wire.ErrorReply {
	switch {
	case len(rq.ID) > maxIDLen:
		return badRequest("id", fmt.Sprintf("is longer than %d bytes", maxIDLen))
	case rq.Team == "":
		return badRequest("team", "is absent")
	case rq.Search == "":
		return badRequest("search", "is absent")
	case len(rq.Query) == 0:
		return badRequest("query", "is absent")
	case rq.DeadlineMs < 0 || rq.DeadlineMs > fr.cfg.MaxDeadline.Milliseconds():
		return badRequest("deadlineMs", fmt.Sprintf("must be between 1 and %d", fr.cfg.MaxDeadline.Milliseconds()))
	case rq.MinCoverage != nil && (*rq.MinCoverage < 0 || *rq.MinCoverage > 1):
		return badRequest("minCoverage", "must be between 0 and 1")
	case rq.Repeat != "" && rq.Repeat != wire.RepeatSafe && rq.Repeat != wire.RepeatNever:
		return badRequest("repeat", `must be "safe" or "never"`)
	}
	return nil
}

func checkTickets(rq *wire.TicketRequest) *wire.ErrorReply {
	if rq.Count == 0 {
		rq.Count = 1
	}
	switch {
	case rq.Team == "":
		return badRequest("team", "is absent")
	case rq.Count < 0 || rq.Count > maxTickets:
		return badRequest("count", fmt.Sprintf("must be between 1 and %d", maxTickets))
	}
	return nil
}

func decodeFault(err error) *wire.ErrorReply {
	var te *json.UnmarshalTypeError
	if ok := asType(err, &te); ok {
		return badRequest(te.Field, "must be a "+te.Type.String()+", not a "+te.Value)
	}
	return badRequest("", "not a JSON object: "+err.Error())
}

func badRequest(path, msg string) *wire.ErrorReply {
	text := msg
	if path != "" {
		text = path + " " + msg
	}
	return &wire.ErrorReply{Error: text, Reason: reasonBadRequest, Path: path}
}
