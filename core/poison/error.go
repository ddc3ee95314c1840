package poison

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	// KindFormat: a text is no fingerprint.
	KindFormat Kind = "format"
)

var errLength = errors.New("it has another length")

// Error is a text that cannot be read.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error gives operation and kind on one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
