package change

import "fmt"

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	// KindCorrupt is a value that cannot be read.
	KindCorrupt Kind = "corrupt"
	// KindNewer is a value that a newer build wrote.
	KindNewer Kind = "newer"
	// KindInvalid is a proposal that no call is made for.
	KindInvalid Kind = "invalid"
)

// Error is a failure of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error gives operation and kind on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
