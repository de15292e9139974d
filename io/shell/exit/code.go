package exit

import (
	"errors"

	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/platform/boot"
)

// Code is the exit code of the process.
type Code int

// The exit codes.
const (
	// OK means that the command succeeded.
	OK Code = iota
	// Failure means that the command failed for a reason that has no code of its own.
	Failure
	// Usage means that the command line is invalid.
	Usage
	// Faults means that the document or the settings file has faults, which are listed.
	Faults
	// Conflict means that another change came first, so that this one was not made.
	Conflict
	// Refused means that the system understood the request and declined it; nothing changed.
	Refused
	// Unavailable means that a service was not reached; nothing changed.
	Unavailable
	// Unknown means that the change may or may not have taken effect.
	Unknown
)

// Codes returns all exit codes in ascending order.
func Codes() []Code {
	return []Code{OK, Failure, Usage, Faults, Conflict, Refused, Unavailable, Unknown}
}

// String returns the code's name.
func (c Code) String() string {
	names := [...]string{"OK", "Failure", "Usage", "Faults", "Conflict", "Refused", "Unavailable", "Unknown"}
	if c < 0 || int(c) >= len(names) {
		return "Failure"
	}
	return names[c]
}

// UsageError is the error of an invalid command line.
type UsageError struct {
	Message string
}

// Error returns the message, which says what is wrong with the command line.
func (e UsageError) Error() string {
	return e.Message
}

// CodeOf returns the exit code for a command's error, or OK for nil.
func CodeOf(err error) Code {
	switch {
	case err == nil:
		return OK
	case hasType[UsageError](err):
		return Usage
	case hasType[conf.Faults](err), errors.Is(err, boot.ErrSettings):
		return Faults
	case hasType[value.ChangeConflict](err):
		return Conflict
	case hasType[value.ChangeRefused](err):
		return Refused
	case hasType[value.ChangeUnavailable](err):
		return Unavailable
	case hasType[value.ChangeUnknown](err):
		return Unknown
	}
	return Failure
}

func hasType[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
