package exit

import (
	"errors"

	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/platform/boot"
)

// Code is what the process returns to its caller.
type Code int

// The exit codes.
const (
	// OK says that the command did what was asked.
	OK Code = iota
	// Failure says that the command failed for a reason without a code of its own.
	Failure
	// Usage says that the command line was wrong.
	Usage
	// Faults says that the document has faults, which are listed.
	Faults
	// Conflict says that another change came first.
	Conflict
	// Refused says that the system understood the request and declined it; nothing changed.
	Refused
	// Unavailable says that a service was not reached; nothing changed.
	Unavailable
	// Unknown says that the change may or may not have taken effect.
	Unknown
)

// Codes lists all exit codes in order.
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

// UsageError is a command line that can't be carried out.
type UsageError struct {
	What string
}

// Error returns what is wrong with the command line.
func (e UsageError) Error() string {
	return e.What
}

// Of returns the exit code for a command's error.
func Of(err error) Code {
	switch {
	case err == nil:
		return OK
	case is[UsageError](err):
		return Usage
	case is[conf.Faults](err), errors.Is(err, boot.ErrSettings):
		return Faults
	case is[value.ChangeConflict](err):
		return Conflict
	case is[value.ChangeRefused](err):
		return Refused
	case is[value.ChangeUnavailable](err):
		return Unavailable
	case is[value.ChangeUnknown](err):
		return Unknown
	}
	return Failure
}

func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
