package client

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// Kind says what went wrong with a request.
type Kind string

// Kinds of errors.
const (
	// KindConfig is a setting that no request can be made with.
	KindConfig Kind = "config"
	// KindUnreachable means that no byte of the request was sent.
	KindUnreachable Kind = "unreachable"
	// KindUnknown means that the request was sent, and that nothing tells
	// whether it had an effect.
	KindUnknown Kind = "unknown"
	// KindFailed is a reply that reports a fault, or a read that got no reply.
	KindFailed Kind = "failed"
	// KindReply is a reply that could not be understood, where the request had
	// no effect to be in doubt about.
	KindReply Kind = "reply"
	// KindInvalid is a request that the VM would not read.
	KindInvalid Kind = "invalid"
	// KindDenied is a missing or wrong token.
	KindDenied Kind = "denied"
	// KindNotFound is a team, change or route that the VM does not know.
	KindNotFound Kind = "notFound"
	// KindConflict is a change that another one came before.
	KindConflict Kind = "conflict"
	// KindRefused is a request that was turned away and may be tried later.
	KindRefused Kind = "refused"
)

// Error is the one type of error of this package.
type Error struct {
	Op   string
	Kind Kind
	// Status is the HTTP status, or 0 where no reply came.
	Status int
	// Reason is the VM's own word for the refusal.
	Reason string
	// Path names the field that the VM found fault with.
	Path string
	Msg  string
	Err  error
}

// Error gives operation, kind and everything known on one line.
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

// Unwrap gives the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// KindOf gives the kind of an error of this package, or "" for any other.
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
