package acct

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindMissing: an account has no name, or a key is empty.
	KindMissing Kind = "missing"
	// KindDuplicate: a name or a key occurs twice.
	KindDuplicate Kind = "duplicate"
	// KindInvalid: a name has a control character.
	KindInvalid Kind = "invalid"
	// KindRange: a rate or a burst is negative or not a number.
	KindRange Kind = "range"
)

// Error reports a fault in the configuration of the accounts.
type Error struct {
	Op   string
	Kind Kind
	// Path is the place of the fault, such as accounts[3].keys[0]. Keys themselves are secret and
	// never part of an error.
	Path string
	// First is the place where a duplicate name or key occurs first.
	First string
}

// Error returns operation, kind and place on one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Path) }
