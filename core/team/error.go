package team

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindSyntax means that the text is not one JSON value.
	KindSyntax Kind = "syntax"
	// KindTooLarge means that the document has more than MaxBytes.
	KindTooLarge Kind = "tooLarge"
	// KindUnknown means a field that this version of the format does not have.
	KindUnknown Kind = "unknownField"
	// KindMissing means that a required field is absent.
	KindMissing Kind = "missingField"
	// KindType means a value of the wrong JSON type.
	KindType Kind = "wrongType"
	// KindInvalid means a value that is out of bounds or contradicts another one.
	KindInvalid Kind = "invalid"
)

// Error is one fault of a document.
type Error struct {
	Op   string
	Kind Kind
	// Path is the path of the field, such as searches.kiosk.softDeadlineMs or
	// registers.members.services.desk.servers[2].addr. It is empty if the fault does not
	// concern a single field.
	Path string
	Msg  string
}

// Error returns operation, kind, path and message on one line.
func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
	}
	return fmt.Sprintf("%s: %s: %s: %s", e.Op, e.Kind, e.Path, e.Msg)
}

// Faults lists every *Error within err in the order of detection; nil for a nil err.
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
