package faults_test

import (
	"flag"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"endivehitch/io/faults"
)

var matrix = flag.String("matrix", "", "run the whole matrix of Singles or Pairs")

func runCell(t *testing.T, cell faults.Cell, brokenInvariant faults.Invariant) faults.Outcome {
	t.Helper()
	var outcome faults.Outcome
	synctest.Test(t, func(t *testing.T) {
		var err error
		outcome, err = faults.RunCell(cell, brokenInvariant)
		assert.NilError(t, err)
	})
	return outcome
}

func TestHealthyFleetKeepsEveryInvariant(t *testing.T) {
	outcome := runCell(t, faults.Cell{Step: faults.StepAccept}, "")
	assert.Assert(t, outcome.Reached)
	assert.DeepEqual(t, outcome.Violations, []faults.Violation(nil))
	complete := 0
	for _, r := range outcome.Observations.Replies {
		if r.Complete {
			complete++
		}
	}
	t.Logf("%d replies, %d complete, %d attempts", len(outcome.Observations.Replies), complete, len(outcome.Observations.Attempts))
}

// With the mechanism behind an invariant disabled, Check reports a violation of this invariant. The
// test above shows that it reports none for a healthy fleet.
func TestEachBrokenMechanismIsDetected(t *testing.T) {
	for _, invariant := range faults.Invariants() {
		t.Run(string(invariant), func(t *testing.T) {
			violations := runCell(t, faults.Cell{Step: faults.StepAccept}, invariant).Violations
			assert.Assert(t, slices.ContainsFunc(violations, func(violation faults.Violation) bool { return violation.Invariant == invariant }), "found %v", violations)
		})
	}
}

// TestMatrix runs one cell for each step, or the whole matrix of single faults or pairs if the flag
// says so.
func TestMatrix(t *testing.T) {
	switch *matrix {
	case "Singles":
		runMatrix(t, "Singles", faults.SingleFaultCells())
	case "Pairs":
		runMatrix(t, "Pairs", faults.FaultPairCells())
	default:
		runMatrix(t, "Sample", faults.SampleCells())
	}
}

func runMatrix(t *testing.T, title string, cells []faults.Cell) {
	var mu sync.Mutex
	var counts faults.StateCounts
	t.Run("Cells", func(t *testing.T) {
		for _, cell := range cells {
			if cell.ReasonNotApplicable() != "" {
				counts = counts.With(cell, faults.StateNotApplicable)
				continue
			}
			t.Run(cell.Name(), func(t *testing.T) {
				t.Parallel()
				outcome := runCell(t, cell, "")
				mu.Lock()
				counts = counts.With(cell, outcome.State())
				mu.Unlock()
				assert.Equal(t, outcome.State(), faults.StateHeld, "%v", outcome.Violations)
			})
		}
	})
	assert.NilError(t, counts.Print(t.Output(), title))
}
