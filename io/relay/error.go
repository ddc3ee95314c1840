package relay

import (
	"fmt"
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// Kind says at which step an exchange failed.
type Kind string

// Kinds of errors; each is also the reason in logs and counters.
const (
	// KindDial: no connection could be opened.
	KindDial Kind = "dial"
	// KindBackoff: opening failed lately and is not tried again yet.
	KindBackoff Kind = "backoff"
	// KindNoRoom: all connections are in use and enough requests wait.
	KindNoRoom Kind = "noRoom"
	// KindDropped: given up by this VM.
	KindDropped Kind = "dropped"
	// KindWrite: the request could not be written.
	KindWrite Kind = "write"
	// KindReset: the connection ended before the answer was whole.
	KindReset Kind = "reset"
	// KindGarbled: what came is no answer to this request.
	KindGarbled Kind = "garbled"
	// KindJoin: the VM that should have sent it gave no answer.
	KindJoin Kind = "join"
	// KindClosed: the server is no longer in the directory.
	KindClosed Kind = "closed"
)

// Error is a failed exchange.
type Error struct {
	Op   string
	Kind Kind
	Addr string
	// Sent is set if any byte of the request may have left this VM.
	Sent bool
	Err  error
}

// Broken tells whether the server ended the connection under the request: it crashed, or
// closed that connection alone.
func (e *Error) Broken() bool {
	return e.Sent && (errors.Is(e.Err, io.EOF) || errors.Is(e.Err, io.ErrUnexpectedEOF) ||
		errors.Is(e.Err, syscall.ECONNRESET) || errors.Is(e.Err, syscall.EPIPE))
}

// Error gives operation, kind and server on one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Addr)
	}
	return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Kind, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
