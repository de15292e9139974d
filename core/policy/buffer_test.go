package policy_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
)

// Guards against buffers without end that take the memory of all others.
func TestBuffersWithoutEndLeaveTheOthersTheirOwnBytes(t *testing.T) {
	budget, err := policy.NewBufferBudget(policy.BufferConfig{OwnBytes: 10, MaxBytes: 40, SharedBytes: 50})
	assert.NilError(t, err)
	fill := func(a *policy.BufferAccount) int {
		n := 0
		for a.Grow(5) {
			n += 5
		}
		return n
	}
	first, second, third := budget.Open(), budget.Open(), budget.Open()
	assert.Equal(t, fill(first), 40)
	assert.Equal(t, fill(second), 30, "only 20 of the 50 shared bytes were left")
	assert.Equal(t, fill(third), 10)
	first.Close()
	first.Close()
	assert.Assert(t, !first.Grow(1), "a closed buffer doesn't grow")
	assert.Equal(t, fill(third), 30)
	_, err = policy.NewBufferBudget(policy.BufferConfig{OwnBytes: 10, MaxBytes: 5})
	assert.Assert(t, err != nil)
}
