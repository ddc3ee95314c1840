package upst

import "fmt"

// Kind says at which step an exchange failed.
type Kind string

// Kinds of errors; each is also the reason in counters and answers.
const (
	KindDial     Kind = "dial"
	KindNoConn   Kind = "noConnection"
	KindWrite    Kind = "write"
	KindTimeout  Kind = "timeout"
	KindReset    Kind = "reset"
	KindStatus   Kind = "status"
	KindDecode   Kind = "decode"
	KindCanceled Kind = "canceled"
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
	return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Kind, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
