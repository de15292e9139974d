package faults

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// SingleFaultCells returns a cell for each fault at each step.
func SingleFaultCells() []Cell {
	var cells []Cell
	for _, s := range Steps() {
		for _, f := range Faults() {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}})
		}
	}
	return cells
}

// SampleCells returns one cell for each step and rotates through the faults.
func SampleCells() []Cell {
	var cells []Cell
	faults := Faults()
	for i, s := range Steps() {
		for j := range faults {
			// A fault that can't occur at the step is replaced by the next one that can.
			c := Cell{Step: s, Faults: []Fault{faults[(i+j)%len(faults)]}}
			if c.ReasonNotApplicable() == "" {
				cells = append(cells, c)
				break
			}
		}
	}
	return cells
}

// FaultPairCells returns a cell for each pair of faults at each step.
func FaultPairCells() []Cell {
	var cells []Cell
	faults := Faults()
	for _, s := range Steps() {
		for i, f := range faults {
			for _, g := range faults[i+1:] {
				cells = append(cells, Cell{Step: s, Faults: []Fault{f, g}})
			}
		}
	}
	return cells
}

// State is the result of a cell.
type State string

// The states of a cell: all invariants held, one was violated, the step was not reached, or a fault
// can't occur at the step.
const (
	StateHeld          State = "Held"
	StateViolated      State = "Red"
	StateNotReached    State = "Missed"
	StateNotApplicable State = "NotApplicable"
)

// State returns StateViolated after a violation, StateNotReached if the faults never began, and
// otherwise StateHeld.
func (o Outcome) State() State {
	switch {
	case len(o.Violations) > 0:
		return StateViolated
	case !o.Reached:
		return StateNotReached
	}
	return StateHeld
}

// StateCounts is the number of cells in each state, by step. It is immutable.
type StateCounts struct {
	counts map[Step]map[State]int
}

// With returns a copy that counts the cell in the state.
func (c StateCounts) With(cell Cell, state State) StateCounts {
	next := make(map[Step]map[State]int, len(c.counts)+1)
	for step, counts := range c.counts {
		next[step] = counts
	}
	row := make(map[State]int, len(next[cell.Step])+1)
	for rowState, n := range next[cell.Step] {
		row[rowState] = n
	}
	row[state]++
	next[cell.Step] = row
	return StateCounts{counts: next}
}

// Total returns how many cells are in the state.
func (c StateCounts) Total(s State) int {
	n := 0
	for _, row := range c.counts {
		n += row[s]
	}
	return n
}

// Print writes a table with a row for each step; its column Run counts the cells that were run, which
// excludes those that are not applicable.
func (c StateCounts) Print(w io.Writer, title string) error {
	states := []State{StateHeld, StateViolated, StateNotReached, StateNotApplicable}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tRun\t", title)
	for _, s := range states {
		fmt.Fprintf(table, "%s\t", s)
	}
	fmt.Fprintln(table)
	for _, step := range Steps() {
		row := c.counts[step]
		fmt.Fprintf(table, "%s\t%d\t", step, row[StateHeld]+row[StateViolated]+row[StateNotReached])
		for _, s := range states {
			fmt.Fprintf(table, "%d\t", row[s])
		}
		fmt.Fprintln(table)
	}
	fmt.Fprintf(table, "Total\t%d\t", c.Total(StateHeld)+c.Total(StateViolated)+c.Total(StateNotReached))
	for _, s := range states {
		fmt.Fprintf(table, "%d\t", c.Total(s))
	}
	fmt.Fprintln(table)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print state counts: %w", err)
	}
	return nil
}
