package poison

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Kind is the kind of an Error.
type Kind string

// Kinds of errors.
const (
	// KindFormat: the text is not a valid fingerprint or record.
	KindFormat Kind = "format"
)

var errLength = errors.New("length is not 16 bytes")

// Error is returned for a text that cannot be parsed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats operation, kind and cause on one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
