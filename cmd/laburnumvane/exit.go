package main

import (
	"fmt"

	"github.com/go-faster/errors"

	"laburnumvane/io/client"
)

// Exit codes; scripts rely on them.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitNotAccepted = 3
	exitUnknown     = 4
)

// Kind says which exit code an error ends in.
type Kind string

// Kinds of errors.
const (
	KindUsage       Kind = "usage"
	KindFailure     Kind = "failure"
	KindNotAccepted Kind = "notAccepted"
	KindUnknown     Kind = "unknown"
)

// Error is what a command ends with when it has not done what it was asked.
type Error struct {
	Op   string
	Kind Kind
	Msg  string
	Err  error
}

// Error gives operation and fault; it is empty where the command has printed
// the outcome itself and only the exit code is left to say.
func (e *Error) Error() string {
	if e.Msg == "" && e.Err == nil {
		return ""
	}
	msg := e.Op
	if e.Msg != "" {
		msg += ": " + e.Msg
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func usageError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindUsage, Msg: fmt.Sprintf(format, args...)}
}

func failure(op string, err error) error {
	return &Error{Op: op, Kind: KindFailure, Err: err}
}

// silent ends a command with a code where its output has said why already.
func silent(op string, kind Kind) error {
	return &Error{Op: op, Kind: kind}
}

// exitCode gives the code for an error of a command that was started.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var own *Error
	if errors.As(err, &own) {
		return exitOfKind(own.Kind)
	}
	switch client.KindOf(err) {
	case client.KindConfig, client.KindInvalid:
		return exitUsage
	case client.KindConflict, client.KindRefused:
		return exitNotAccepted
	case client.KindUnknown:
		return exitUnknown
	}
	return exitFailure
}

func exitOfKind(kind Kind) int {
	switch kind {
	case KindUsage:
		return exitUsage
	case KindNotAccepted:
		return exitNotAccepted
	case KindUnknown:
		return exitUnknown
	}
	return exitFailure
}
