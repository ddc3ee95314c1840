package team

import "fmt"

// Kind says what is wrong with a document.
type Kind string

// Kinds of errors.
const (
	// KindSyntax is text that is not one JSON value.
	KindSyntax Kind = "syntax"
	// KindTooLarge is a document of more than MaxBytes.
	KindTooLarge Kind = "tooLarge"
	// KindUnknown is a field that this version of the format does not have.
	KindUnknown Kind = "unknownField"
	// KindMissing is a required field that is not there.
	KindMissing Kind = "missingField"
	// KindType is a value of the wrong JSON type.
	KindType Kind = "wrongType"
	// KindInvalid is a value out of its bounds, or at odds with another one.
	KindInvalid Kind = "invalid"
)

// Error is one fault of a document, with the path of the field.
type Error struct {
	Op   string
	Kind Kind
	// Path leads to the field, as in searches.kiosk.softDeadlineMs or
	// registers.members.services.desk.servers[2].addr. It is empty where the
	// fault is in no one field.
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

// Faults gives every *Error within err, in the order they were found.
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
