package plat

import "fmt"

// Kind says how a call failed.
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
	// Doubtful is set if the call may have taken effect; never for a read.
	Doubtful bool
	Err      error
}

// Error gives operation and kind on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
