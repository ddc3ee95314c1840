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

// Kind classifies an error and determines the exit code.
type Kind string

// Kinds of errors.
const (
	KindUsage       Kind = "usage"
	KindFailure     Kind = "failure"
	KindNotAccepted Kind = "notAccepted"
	KindUnknown     Kind = "unknown"
)

// Error is the error of a command that failed or whose result needs a non-zero exit code.
type Error struct {
	Op   string
	Kind Kind
	Msg  string
	Err  error
}

// Error returns the operation and the fault. It returns "" if the command has already printed the
// outcome and only the exit code remains to be set.
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

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.Err
}

func usageError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindUsage, Msg: fmt.Sprintf(format, args...)}
}

func failure(op string, err error) error {
	return &Error{Op: op, Kind: KindFailure, Err: err}
}

// silentError returns an error without a message, which only sets the exit code. It is for commands
// whose output already states the reason.
func silentError(op string, kind Kind) error {
	return &Error{Op: op, Kind: kind}
}

// exitCode returns the exit code for an error of a command whose action was started.
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
