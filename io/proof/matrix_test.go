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

var wide = flag.String("matrix", "", "run the whole matrix of Singles or Pairs")

func play(t *testing.T, c proof.Cell, broken proof.Line) proof.Outcome {
	t.Helper()
	var o proof.Outcome
	synctest.Test(t, func(t *testing.T) {
		var err error
		o, err = proof.Play(c, broken)
		assert.NilError(t, err)
	})
	return o
}

func TestHealthyFleetHolds(t *testing.T) {
	o := play(t, proof.Cell{Step: proof.StepAccept}, "")
	assert.Assert(t, o.Reached)
	assert.DeepEqual(t, o.Breaches, []proof.Breach(nil))
	whole := 0
	for _, r := range o.Facts.Replies {
		if r.Ended {
			whole++
		}
	}
	t.Logf("%d replies, %d whole, %d runs", len(o.Facts.Replies), whole, len(o.Facts.Runs))
}

// Each property's check sees its mechanism broken, and stays quiet about a healthy fleet.
func TestEachBrokenMechanismIsSeen(t *testing.T) {
	for _, l := range proof.Lines() {
		t.Run(string(l), func(t *testing.T) {
			found := play(t, proof.Cell{Step: proof.StepAccept}, l).Breaches
			assert.Assert(t, slices.ContainsFunc(found, func(b proof.Breach) bool { return b.Line == l }), "found %v", found)
		})
	}
}

// One cell of each step is always run; the flag widens the test to the whole matrix.
func TestMatrix(t *testing.T) {
	switch *wide {
	case "Singles":
		runGrid(t, "Singles", proof.Singles())
	case "Pairs":
		runGrid(t, "Pairs", proof.Pairs())
	default:
		runGrid(t, "Sample", proof.Sample())
	}
}

func runGrid(t *testing.T, title string, cells []proof.Cell) {
	var mu sync.Mutex
	var g proof.Grid
	t.Run("Cells", func(t *testing.T) {
		for _, c := range cells {
			if c.Absent() != "" {
				g = g.With(c, proof.StateAbsent)
				continue
			}
			t.Run(c.Name(), func(t *testing.T) {
				t.Parallel()
				o := play(t, c, "")
				mu.Lock()
				g = g.With(c, o.State())
				mu.Unlock()
				assert.Equal(t, o.State(), proof.StateHeld, "%v", o.Breaches)
			})
		}
	})
	assert.NilError(t, g.Print(t.Output(), title))
}
