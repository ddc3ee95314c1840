package plat

import "fmt"

// Kind is the class of an Error.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable"
	KindTimeout     Kind = "timeout"
	KindStatus      Kind = "status"
	KindDecode      Kind = "decode"
	KindTooLarge    Kind = "tooLarge"
)

// Error is a failed call to the platform.
type Error struct {
	Op   string
	Kind Kind
	// MayHaveApplied is set if the call may have taken effect. It is never set for a read.
	MayHaveApplied bool
	Err            error
}

// Error returns the operation, kind and cause on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
