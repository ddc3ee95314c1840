package upst

import "fmt"

// Kind is the cause or the step at which an exchange failed.
type Kind string

// Kinds of errors. The values are also used as reasons in counters and answers.
const (
	// KindDial: no connection could be opened.
	KindDial Kind = "dial"
	// KindNoConn: no connection was free before the deadline, or none is allowed.
	KindNoConn Kind = "noConnection"
	// KindBackoff: opening a connection failed recently and is not retried yet.
	KindBackoff Kind = "backoff"
	// KindRefused: the server accepts connections and closes them at once.
	KindRefused Kind = "connectionRefused"
	// KindExpired: too little time was left to send the request.
	KindExpired Kind = "expired"
	// KindWrite: the request could not be written completely.
	KindWrite Kind = "write"
	// KindTimeout: no reply came before the deadline.
	KindTimeout Kind = "timeout"
	// KindReset: the connection failed before the reply was complete.
	KindReset Kind = "reset"
	// KindSilent: the connection was closed as silent, while others were answered.
	KindSilent Kind = "silent"
	// KindStatus: the reply's status is not 200, so it has no statement by the server itself.
	KindStatus Kind = "status"
	// KindDecode: a message could not be encoded or decoded.
	KindDecode Kind = "decode"
	// KindClosed: the Server was closed.
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

// Error returns the operation, the kind, the server and the cause on one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Addr)
	}
	return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Kind, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
