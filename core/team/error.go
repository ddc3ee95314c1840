package team

import "fmt"

// Kind says what is wrong with a document.
type Kind string

// Kinds of errors.
const (
	KindSyntax  Kind = "syntax"
	KindUnknown Kind = "unknownField"
	KindInvalid Kind = "invalid"
)

// Error is one fault of a document, with the path of the field.
type Error struct {
	Op   string
	Kind Kind
	Path string
	Msg  string
}

// Error gives operation, path and fault on one line.
func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
	}
	return fmt.Sprintf("%s: %s: %s: %s", e.Op, e.Kind, e.Path, e.Msg)
}
