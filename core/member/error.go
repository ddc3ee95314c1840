package member

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindConfig Kind = "config"
)

// Error is returned by New for an invalid Config.
type Error struct {
	Op   string
	Kind Kind
	Msg  string
}

// Error returns operation, kind and message on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
}
