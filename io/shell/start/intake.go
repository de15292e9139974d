package start

import (
	"fmt"

	"github.com/urfave/cli/v3"

	"endivehitch/core/intake"
	"endivehitch/io/shell/exit"
)

// intakeOptions holds the limits on what callers take of an instance.
type intakeOptions struct {
	limits intake.Limits
	// memory in bytes and files are those of the process; zero means that they are not stated.
	memory int64
	files  int
}

// The names of the flags; the error for an invalid value names the flag.
const (
	flagMemoryLimit      = "memory-limit-mb"
	flagMaxOpenFiles     = "max-open-files"
	flagIntakeMemory     = "intake-memory-mb"
	flagIntakeConns      = "intake-connections"
	flagIntakeFresh      = "intake-fresh-connections"
	flagIntakeBodyTime   = "intake-body-time"
	flagIntakeWriteStall = "intake-write-stall"
)

// intakeFlags returns the flags of the limits on callers, which edge and serve share.
func intakeFlags() []cli.Flag {
	return []cli.Flag{
		floatFlag(flagMemoryLimit, "memory in MiB that the process may use (default: that of the platform's settings, or 1024)", 0),
		intFlag(flagMaxOpenFiles, "files that the process may open (default: that of the platform's settings, or 8192)"),
		floatFlag(flagIntakeMemory, "memory in MiB that requests and unread answers may hold (default: a fifth of the process's)", 0),
		intFlag(flagIntakeConns, "connections that callers may open (default: derived from memory and files)"),
		intFlag(flagIntakeFresh, "connections among them without a request so far (default: half of them)"),
		durationFlag(flagIntakeBodyTime, "time in which a body must arrive (default: 10s)"),
		durationFlag(flagIntakeWriteStall, "time for which a caller may take nothing of its answer (default: 30s)"),
	}
}

func intFlag(name, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Sources: cli.EnvVars(environmentVariable(name)), HideDefault: true}
}

func durationFlag(name, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Sources: cli.EnvVars(environmentVariable(name)), HideDefault: true}
}

const bytesPerMiB = 1 << 20

// readIntake returns the values of the flags, or a usage error that names the invalid one.
func readIntake(c *cli.Command) (intakeOptions, error) {
	o := intakeOptions{
		limits: intake.Limits{
			Bytes: int64(c.Float(flagIntakeMemory) * bytesPerMiB), Connections: c.Int(flagIntakeConns), Fresh: c.Int(flagIntakeFresh),
			BodyTime: c.Duration(flagIntakeBodyTime), WriteStall: c.Duration(flagIntakeWriteStall),
		},
		memory: int64(c.Float(flagMemoryLimit) * bytesPerMiB), files: c.Int(flagMaxOpenFiles),
	}
	if o.memory < 0 {
		return o, exit.UsageError{Message: flagMemoryLimit + " must not be negative"}
	}
	if o.files < 0 {
		return o, exit.UsageError{Message: flagMaxOpenFiles + " must not be negative"}
	}
	if err := o.limits.Check(); err != nil {
		return o, exit.UsageError{Message: fmt.Sprint(err)}
	}
	return o, nil
}
