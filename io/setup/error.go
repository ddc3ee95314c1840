package setup

import "strings"

// Kind says in what way a setting is wrong.
type Kind string

// Kinds of errors.
const (
	// KindMissing is a setting without default that was not given.
	KindMissing Kind = "missing"
	// KindMalformed is text that cannot be read as the setting's type.
	KindMalformed Kind = "malformed"
	// KindRange is a value outside the bounds that the error gives.
	KindRange Kind = "outOfRange"
	// KindConflict is a value that cannot go together with another setting's.
	KindConflict Kind = "conflict"
	// KindUnsafe is a value that would let anybody change the configuration.
	KindUnsafe Kind = "unsafe"
)

// Error is one wrong setting.
type Error struct {
	Op   string
	Kind Kind
	// Flag is the name without dashes.
	Flag string
	Msg  string
}

// Error is one line that names flag and variable.
func (e *Error) Error() string {
	return e.Op + ": --" + e.Flag + " (" + Variable(e.Flag) + "): " + e.Msg
}

// Variable is the environment variable of a flag.
func Variable(flag string) string {
	return "LABURNUMVANE_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
