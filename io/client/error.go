package client

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindConfig is a setting with which no request can be made.
	KindConfig Kind = "config"
	// KindUnreachable means that no byte of the request was sent.
	KindUnreachable Kind = "unreachable"
	// KindUnknown means that the request was sent and that it is unknown whether it had an
	// effect.
	KindUnknown Kind = "unknown"
	// KindFailed is a reply that reports a failure, or a read request that got no reply.
	KindFailed Kind = "failed"
	// KindReply is a reply that could not be understood, to a request that has no effect.
	KindReply Kind = "reply"
	// KindInvalid is a request that the VM rejected as invalid.
	KindInvalid Kind = "invalid"
	// KindDenied is a missing or wrong token.
	KindDenied Kind = "denied"
	// KindNotFound is a team, change or route that the VM does not know.
	KindNotFound Kind = "notFound"
	// KindConflict is a change that conflicts with an earlier one.
	KindConflict Kind = "conflict"
	// KindRefused is a request that was refused and may be tried again later.
	KindRefused Kind = "refused"
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind Kind
	// Status is the HTTP status, or 0 if no reply came.
	Status int
	// Reason is the reason given by the VM, a word that programs can compare.
	Reason string
	// Path is the field of the request that the VM found invalid.
	Path string
	Msg  string
	Err  error
}

// Error returns the operation, the kind and all other fields that are set on one line.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: %s", e.Op, e.Kind)
	if e.Status != 0 {
		msg += fmt.Sprintf(" (%d %s)", e.Status, http.StatusText(e.Status))
	}
	for _, part := range []string{e.Reason, e.Path, e.Msg} {
		if part != "" {
			msg += ": " + part
		}
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of an error of this package, or "" for any other error.
func KindOf(err error) Kind {
	var ce *Error
	if errors.As(err, &ce) {
		return ce.Kind
	}
	return ""
}

func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return KindDenied
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return KindNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return KindConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return KindRefused
	case http.StatusGatewayTimeout:
		return KindUnknown
	}
	if status >= 400 && status < 500 {
		return KindInvalid
	}
	return KindFailed
}
