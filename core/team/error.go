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

// Faults gives every *Error within err, in the order of the document.
func Faults(err error) []*Error {
	switch ev := err.(type) { //nolint:errorlint // walks the tree of errors itself
	case nil:
		return nil
	case *Error:
		return []*Error{ev}
	case interface{ Unwrap() []error }:
		var flts []*Error
		for _, sub := range ev.Unwrap() {
			flts = append(flts, Faults(sub)...)
		}
		return flts
	case interface{ Unwrap() error }:
		return Faults(ev.Unwrap())
	}
	return nil
}
