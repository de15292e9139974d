package intake

import (
	"errors"
	"fmt"
	"time"
)

// HeapFraction is the part of the process's memory to set as the Go runtime's soft memory limit, near which garbage
// collection runs more often.
const HeapFraction = 0.6

const (
	// budgetPart is the part of the process's memory that requests and unread answers may hold. The Go runtime's soft
	// limit leaves room for as much again in buffers that are not collected yet.
	budgetPart = 0.2
	// minBudget leaves room for one body of the usual limit while its buffer grows.
	minBudget = 12 << 20
	// connectionPart is the part of the process's memory for the buffers and stacks of connections.
	connectionPart = 0.25
	// connectionBytes is what an idle connection takes: a stack and two buffers.
	connectionBytes = 20 << 10
	// reservedFiles are the descriptors for files, the store and other instances.
	reservedFiles = 200
	// filePart is the part of the other descriptors for callers; the rest is for backend servers.
	filePart = 0.6
	// minConnections is the least number of connections that a derived limit allows.
	minConnections = 16
	// freshPart is the part of all connections that may be without a request so far.
	freshPart = 0.5
	// defaultMemory and defaultFiles apply where the settings state no limits.
	defaultMemory = 1 << 30
	defaultFiles  = 8192
	// defaultWriteStall is well above the seconds after which backend servers abort an answer that stays unread.
	defaultWriteStall = 30 * time.Second
	// defaultBodyTime is the time in which a body must arrive.
	defaultBodyTime = 10 * time.Second
)

// Limits bounds what all callers of an instance take together. A zero field stands for its default.
type Limits struct {
	// Bytes is what bodies, large heads and unread answers may hold.
	Bytes int64
	// Connections bounds the callers' connections, and Fresh those among them that have had no request yet.
	Connections int
	Fresh       int
	// BodyTime is the time in which a body must arrive.
	BodyTime time.Duration
	// WriteStall is how long a caller may take nothing of an answer that waits for it.
	WriteStall time.Duration
}

// ErrLimits is returned for a limit that is not usable.
var ErrLimits = errors.New("intake limits are not usable")

// Check returns an error that wraps ErrLimits and names the field that is not usable.
func (l Limits) Check() error {
	numbers := []struct {
		field string
		value int64
	}{
		{"intake-memory-mb", l.Bytes},
		{"intake-connections", int64(l.Connections)},
		{"intake-fresh-connections", int64(l.Fresh)},
		{"intake-body-time", int64(l.BodyTime)},
		{"intake-write-stall", int64(l.WriteStall)},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return fmt.Errorf("%w: %s must not be negative, have %d", ErrLimits, n.field, n.value)
		}
	}
	if l.Connections > 0 && l.Fresh > l.Connections {
		return fmt.Errorf("%w: intake-fresh-connections must be at most intake-connections, have %d and %d", ErrLimits, l.Fresh, l.Connections)
	}
	return nil
}

// Within returns the limits with the fields that are zero derived from the process's memory in bytes and its number of
// descriptors; zero means that these are not known.
func (l Limits) Within(memory int64, files int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if files <= 0 {
		files = defaultFiles
	}
	if l.Bytes == 0 {
		l.Bytes = max(int64(float64(memory)*budgetPart), minBudget)
	}
	if l.Connections == 0 {
		byMemory := int(float64(memory) * connectionPart / connectionBytes)
		byFiles := int(float64(files-reservedFiles) * filePart)
		l.Connections = max(min(byMemory, byFiles), minConnections)
	}
	if l.Fresh == 0 {
		l.Fresh = max(int(float64(l.Connections)*freshPart), 1)
	}
	if l.BodyTime == 0 {
		l.BodyTime = defaultBodyTime
	}
	if l.WriteStall == 0 {
		l.WriteStall = defaultWriteStall
	}
	return l
}
