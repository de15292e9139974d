package policy_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivehitch/core/policy"
)

func TestRingKeepsTheLatestValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 5).Draw(t, "size")
		added := rapid.SliceOfN(rapid.Int(), 0, 20).Draw(t, "added")
		r := policy.NewRing[int](size)
		for _, v := range added {
			r = r.With(v)
		}
		want := slices.Clone(added[len(added)-min(size, len(added)):])
		slices.Reverse(want)
		assert.Assert(t, slices.Equal(slices.Collect(r.All()), want))
	})
}

func TestRingsFromOneBaseAreIndependent(t *testing.T) {
	base := policy.NewRing[int](3).With(1).With(2)
	left, right := base.With(3), base.With(4)
	assert.DeepEqual(t, slices.Collect(left.All()), []int{3, 2, 1})
	assert.DeepEqual(t, slices.Collect(right.All()), []int{4, 2, 1})
}
