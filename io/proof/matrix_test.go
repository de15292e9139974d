package proof_test

import (
	"flag"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"endivehitch/io/proof"
)

var matrix = flag.String("matrix", "", "run the whole matrix of Singles or Pairs")

func runCell(t *testing.T, cell proof.Cell, brokenInvariant proof.Invariant) proof.Outcome {
	t.Helper()
	var outcome proof.Outcome
	synctest.Test(t, func(t *testing.T) {
		var err error
		outcome, err = proof.RunCell(cell, brokenInvariant)
		assert.NilError(t, err)
	})
	return outcome
}

func TestHealthyFleetKeepsEveryInvariant(t *testing.T) {
	outcome := runCell(t, proof.Cell{Step: proof.StepAccept}, "")
	assert.Assert(t, outcome.Reached)
	assert.DeepEqual(t, outcome.Violations, []proof.Violation(nil))
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
	for _, invariant := range proof.Invariants() {
		t.Run(string(invariant), func(t *testing.T) {
			violations := runCell(t, proof.Cell{Step: proof.StepAccept}, invariant).Violations
			assert.Assert(t, slices.ContainsFunc(violations, func(violation proof.Violation) bool { return violation.Invariant == invariant }), "found %v", violations)
		})
	}
}

// Runs one cell for each step, or the whole matrix of single faults or pairs if the flag says so.
func TestMatrix(t *testing.T) {
	switch *matrix {
	case "Singles":
		runMatrix(t, "Singles", proof.SingleFaultCells())
	case "Pairs":
		runMatrix(t, "Pairs", proof.FaultPairCells())
	default:
		runMatrix(t, "Sample", proof.SampleCells())
	}
}

func runMatrix(t *testing.T, title string, cells []proof.Cell) {
	var mu sync.Mutex
	var counts proof.StateCounts
	t.Run("Cells", func(t *testing.T) {
		for _, cell := range cells {
			if cell.ReasonNotApplicable() != "" {
				counts = counts.With(cell, proof.StateNotApplicable)
				continue
			}
			t.Run(cell.Name(), func(t *testing.T) {
				t.Parallel()
				outcome := runCell(t, cell, "")
				mu.Lock()
				counts = counts.With(cell, outcome.State())
				mu.Unlock()
				assert.Equal(t, outcome.State(), proof.StateHeld, "%v", outcome.Violations)
			})
		}
	})
	assert.NilError(t, counts.Print(t.Output(), title))
}
