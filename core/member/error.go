package member

import "fmt"

// Kind says what is wrong.
type Kind string

// Kinds of errors.
const (
	KindConfig Kind = "config"
)

// Error is a failure of this package.
type Error struct {
	Op   string
	Kind Kind
	Msg  string
}

// Error gives operation, kind and message on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
}
