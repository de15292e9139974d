package proof

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Singles returns a cell for each fault at each step.
func Singles() []Cell {
	var cells []Cell
	for _, s := range Steps() {
		for _, f := range Faults() {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}})
		}
	}
	return cells
}

// Sample returns one cell for each step, with the faults in turn.
func Sample() []Cell {
	var cells []Cell
	faults := Faults()
	for i, s := range Steps() {
		for j := range faults {
			// Cells that can't exist are passed over for the next fault.
			c := Cell{Step: s, Faults: []Fault{faults[(i+j)%len(faults)]}}
			if c.Absent() == "" {
				cells = append(cells, c)
				break
			}
		}
	}
	return cells
}

// Pairs returns a cell for each two faults at each step.
func Pairs() []Cell {
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

// State says what became of a cell.
type State string

// The states of a cell.
const (
	StateHeld   State = "Held"
	StateRed    State = "Red"
	StateMissed State = "Missed"
	StateAbsent State = "NotApplicable"
)

// State returns Red for a breach and Missed where the faults never struck.
func (o Outcome) State() State {
	switch {
	case len(o.Breaches) > 0:
		return StateRed
	case !o.Reached:
		return StateMissed
	}
	return StateHeld
}

// Grid counts the states of cells by step; it is immutable.
type Grid struct {
	counts map[Step]map[State]int
}

// With returns a grid with one more cell in the state.
func (g Grid) With(c Cell, s State) Grid {
	next := make(map[Step]map[State]int, len(g.counts)+1)
	for step, counts := range g.counts {
		next[step] = counts
	}
	row := make(map[State]int, len(next[c.Step])+1)
	for state, n := range next[c.Step] {
		row[state] = n
	}
	row[s]++
	next[c.Step] = row
	return Grid{counts: next}
}

// Total returns how many cells are in the state.
func (g Grid) Total(s State) int {
	n := 0
	for _, row := range g.counts {
		n += row[s]
	}
	return n
}

// Print writes the grid, one line a step.
func (g Grid) Print(w io.Writer, title string) error {
	states := []State{StateHeld, StateRed, StateMissed, StateAbsent}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tRun\t", title)
	for _, s := range states {
		fmt.Fprintf(t, "%s\t", s)
	}
	fmt.Fprintln(t)
	for _, step := range Steps() {
		row := g.counts[step]
		fmt.Fprintf(t, "%s\t%d\t", step, row[StateHeld]+row[StateRed]+row[StateMissed])
		for _, s := range states {
			fmt.Fprintf(t, "%d\t", row[s])
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintf(t, "Total\t%d\t", g.Total(StateHeld)+g.Total(StateRed)+g.Total(StateMissed))
	for _, s := range states {
		fmt.Fprintf(t, "%d\t", g.Total(s))
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print grid: %w", err)
	}
	return nil
}
