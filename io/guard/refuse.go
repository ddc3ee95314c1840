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

// Reasons of refusals by this package.
const (
	ReasonBadRequest  = "badRequest"
	ReasonTooLarge    = "tooLarge"
	ReasonHeaders     = "headersTooLarge"
	ReasonSlow        = "requestTimeout"
	ReasonNoRoute     = "noSuchRoute"
	ReasonNoMethod    = "methodNotAllowed"
	ReasonMediaType   = "mediaType"
	ReasonExpectation = "expectation"
	// ReasonInternal is the only reason with which the request may have had an effect.
	ReasonInternal = "internal"
)

// keyReason is the context key under which Refuse stores the reason for countRefusals.
const keyReason = "refused"

// Refuse answers with an error and runs no further handler.
func Refuse(rc *app.RequestContext, status int, er wire.ErrorReply) {
	rc.Set(keyReason, er.Reason)
	rc.AbortWithStatusJSON(status, er)
}

// isContinue reports whether p is the interim answer to "Expect: 100-continue".
func isContinue(p []byte) bool {
	return bytes.HasPrefix(p, []byte("HTTP/1.1 100 "))
}

// replacementAnswer returns the JSON answer that replaces the library's plain-text error p, and its
// reason. The library closes the connection after it.
func replacementAnswer(p []byte) (answer []byte, reason string) {
	status := statusOf(p)
	er := errorReplyOf(status)
	body, err := json.Marshal(er)
	if err != nil {
		// A struct of strings can always be encoded.
		panic(err)
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body))
	return append([]byte(head), body...), er.Reason
}

// statusOf parses the status in an answer's first line; 400 if there is no error status.
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

func errorReplyOf(status int) wire.ErrorReply {
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
