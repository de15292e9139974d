package policy_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivehitch/core/policy"
)

// Compares lists built by random operations, and all their older versions, with slices.
func TestListMatchesSliceModelInEveryVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []policy.List[int]{{}}
		models := [][]int{nil}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			n := rapid.IntRange(max(0, len(lists)-3), len(lists)-1).Draw(t, "version")
			if rapid.IntRange(0, 9).Draw(t, "drop") > 0 {
				lists = append(lists, lists[n].With(i))
				models = append(models, append(slices.Clone(models[n]), i))
				continue
			}
			k := rapid.IntRange(0, len(models[n])+1).Draw(t, "k")
			lists = append(lists, lists[n].Without(k))
			models = append(models, slices.Clone(models[n][min(k, len(models[n])):]))
		}
		for n, m := range models {
			assert.Equal(t, lists[n].Len(), len(m))
			assert.Assert(t, slices.Equal(slices.Collect(lists[n].From(0)), m))
		}
	})
}
