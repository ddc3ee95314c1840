package setup

import "strings"

// Kind classifies the error of a setting.
type Kind string

// Kinds of errors.
const (
	// KindMissing is a setting without default that was not given.
	KindMissing Kind = "missing"
	// KindMalformed is text that cannot be parsed as the setting's type.
	KindMalformed Kind = "malformed"
	// KindRange is a value outside the bounds, which the message states.
	KindRange Kind = "outOfRange"
	// KindConflict is a value that is incompatible with that of another setting.
	KindConflict Kind = "conflict"
	// KindUnsafe is a value that would let unauthorised users change the configuration.
	KindUnsafe Kind = "unsafe"
)

// Error is the error of one setting.
type Error struct {
	Op   string
	Kind Kind
	// Flag is the name of the flag without leading dashes.
	Flag string
	Msg  string
}

// Error returns one line that names operation, flag and variable.
func (e *Error) Error() string {
	return e.Op + ": --" + e.Flag + " (" + EnvVar(e.Flag) + "): " + e.Msg
}

// EnvVar returns the name of a flag's environment variable; flag has no leading dashes.
func EnvVar(flag string) string {
	return "LABURNUMVANE_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
