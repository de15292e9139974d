package query_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

func TestFlushesKeepToTheirShareInALargeFleet(t *testing.T) {
	s := state.New(value.Instance{ID: "self", State: value.InstanceLive})
	assert.Equal(t, query.FlushEvery(s), 5*time.Second)
	for i := range 2300 {
		id := value.InstanceID(fmt.Sprint("i-", i))
		s = s.WithInstance(value.Instance{ID: id, FailureDomain: "a", State: value.InstanceLive})
	}
	flushes := float64(s.LiveInstances()) / query.FlushEvery(s).Seconds()
	assert.Assert(t, flushes <= 100, "%f flushes a second", flushes)
}
