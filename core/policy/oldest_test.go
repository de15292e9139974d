package policy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
)

// Guards against an eviction of newer entries, or of some while there is room.
func TestOldestReturnsTheEarliestKeysOnly(t *testing.T) {
	times := map[string]time.Time{"c": time.Unix(3, 0), "a": time.Unix(1, 0), "b": time.Unix(2, 0)}
	assert.DeepEqual(t, policy.Oldest(times, 2), []string{"a", "b"})
	assert.Equal(t, len(policy.Oldest(times, 9)), 3)
	assert.Equal(t, len(policy.Oldest(times, -1)), 0)
}
