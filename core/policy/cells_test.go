package policy_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
)

func TestCellsOfOneKeyShareOneCell(t *testing.T) {
	var cells policy.Cells[string, int]
	assert.Equal(t, cells.Get("a"), 0)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				cells.Cell("a").Update(func(n int) int { return n + 1 })
			}
		})
	}
	group.Wait()
	assert.Equal(t, cells.Get("a"), 800)
	cells.Cell("b").Update(func(int) int { return 7 })
	sum := 0
	for _, v := range cells.All() {
		sum += v
	}
	assert.Equal(t, sum, 807)
	cells.Delete("a")
	assert.Equal(t, cells.Get("a"), 0)
}
