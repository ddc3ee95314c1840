package upst

import "fmt"

// Kind says at which step an exchange failed.
type Kind string

// Kinds of errors; each is also the reason in counters and answers.
const (
	// KindDial: no connection could be opened.
	KindDial Kind = "dial"
	// KindNoConn: none was free before the deadline.
	KindNoConn Kind = "noConnection"
	// KindBackoff: opening failed lately and is not tried again yet.
	KindBackoff Kind = "backoff"
	// KindRefused: the server accepts connections and closes them at once.
	KindRefused Kind = "connectionRefused"
	// KindExpired: too little time was left to send.
	KindExpired Kind = "expired"
	// KindWrite: the request could not be written whole.
	KindWrite Kind = "write"
	// KindTimeout: no reply before the deadline.
	KindTimeout Kind = "timeout"
	// KindReset: the connection broke before the reply.
	KindReset Kind = "reset"
	// KindSilent: the connection was given up while others were answered.
	KindSilent Kind = "silent"
	// KindStatus: a reply without the server's own account.
	KindStatus Kind = "status"
	// KindDecode: a reply that cannot be read.
	KindDecode Kind = "decode"
	// KindClosed: this VM has given up the server.
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

// Error gives operation, kind and server on one line.
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
