package guard

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/wire"
)

// Reasons of refusals that no handler gave.
const (
	ReasonBadRequest  = "badRequest"
	ReasonTooLarge    = "tooLarge"
	ReasonHeaders     = "headersTooLarge"
	ReasonSlow        = "requestTimeout"
	ReasonNoRoute     = "noSuchRoute"
	ReasonNoMethod    = "methodNotAllowed"
	ReasonMediaType   = "mediaType"
	ReasonExpectation = "expectation"
	// ReasonInternal is the only one after which something may have run.
	ReasonInternal = "internal"
)

// keyReason is where Refuse leaves the reason for the middleware that counts.
const keyReason = "refused"

// Refuse answers with an error and runs no further handler.
func Refuse(rc *app.RequestContext, status int, er wire.ErrorReply) {
	rc.Set(keyReason, er.Reason)
	rc.AbortWithStatusJSON(status, er)
}

// isContinue tells the interim answer to "Expect: 100-continue".
func isContinue(p []byte) bool {
	return bytes.HasPrefix(p, []byte("HTTP/1.1 100 "))
}

// replacement is what is sent for the library's own error, which is plain text,
// with its reason. The library closes the connection after it.
func replacement(p []byte) (answer []byte, reason string) {
	status := statusOf(p)
	er := errorOf(status)
	body, err := json.Marshal(er)
	if err != nil {
		// A struct of strings always encodes.
		panic(err)
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body))
	return append([]byte(head), body...), er.Reason
}

// statusOf reads the status of an answer's first line.
func statusOf(p []byte) int {
	const from, to = len("HTTP/1.1 "), len("HTTP/1.1 400")
	if len(p) < to {
		return consts.StatusBadRequest
	}
	status, err := strconv.Atoi(string(p[from:to]))
	if err != nil || status < consts.StatusBadRequest {
		return consts.StatusBadRequest
	}
	return status
}

func errorOf(status int) wire.ErrorReply {
	switch status {
	case consts.StatusRequestTimeout:
		return wire.ErrorReply{Error: "the request did not arrive in time", Reason: ReasonSlow}
	case consts.StatusRequestEntityTooLarge:
		return wire.ErrorReply{Error: "the request's body is too large", Reason: ReasonTooLarge}
	case consts.StatusRequestHeaderFieldsTooLarge:
		return wire.ErrorReply{Error: "the request's headers are too large", Reason: ReasonHeaders}
	case consts.StatusExpectationFailed:
		return wire.ErrorReply{Error: "the request's Expect header cannot be met", Reason: ReasonExpectation}
	default:
		return wire.ErrorReply{Error: "the request is not HTTP that this VM reads", Reason: ReasonBadRequest}
	}
}
