package emul

import "github.com/go-faster/errors"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen" // a listener could not be opened
	KindFormat Kind = "format" // a register file is malformed
	KindQuery  Kind = "query"  // a query is invalid
	KindConfig Kind = "config" // a configuration value is out of range
	KindState  Kind = "state"  // a call is invalid in the server's state
	KindCall   Kind = "call"   // a call of the admin API failed
)

// Error is the error type of this package. Op is the name of the function that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (er *Error) Error() string {
	return "emul." + er.Op + ": " + string(er.Kind) + ": " + er.Err.Error()
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}

func errorf(op string, kind Kind, format string, args ...any) *Error {
	return newError(op, kind, errors.Errorf(format, args...))
}
