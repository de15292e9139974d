package conf

import (
	"fmt"
	"strings"
)

// Fault is one error in a document or a settings file.
type Fault struct {
	// Path is the path of the value, such as "Kinds[2].QualityTarget".
	Path string
	// Line is the line number of the value, counted from 1.
	Line int
	// What describes the error.
	What string
}

// String returns the fault as "line 7: Kinds[2].Name: is empty".
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.What)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.What)
}

// Faults is the error that lists all faults of a document or a settings file in the order of lines.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
