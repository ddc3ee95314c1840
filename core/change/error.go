package change

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindCorrupt is a value that cannot be decoded or encoded.
	KindCorrupt Kind = "corrupt"
	// KindNewer is a value in the format of a newer build.
	KindNewer Kind = "newer"
	// KindInvalid is an invalid proposal; it is refused without a call to the service.
	KindInvalid Kind = "invalid"
)

// Error is an error of this package; Op is the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
