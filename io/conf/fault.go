package conf

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Path leads to the value, such as "Kinds[2].QualityTarget".
	Path string
	// Line is the line of the value, from 1.
	Line int
	// What says what is wrong.
	What string
}

// String returns the fault as "line 7: Kinds[2].Name: is empty".
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.What)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.What)
}

// Faults is the error that lists everything that is wrong with a document, by line.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
