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

func TestFlushRateOfALargeFleetStaysBounded(t *testing.T) {
	s := state.New(value.Instance{ID: "self", State: value.InstanceLive})
	assert.Equal(t, query.FlushInterval(s), 5*time.Second)
	for i := range 2300 {
		id := value.InstanceID(fmt.Sprint("i-", i))
		s = s.WithInstance(value.Instance{ID: id, FailureDomain: "a", State: value.InstanceLive})
	}
	flushes := float64(s.LiveInstances()) / query.FlushInterval(s).Seconds()
	assert.Assert(t, flushes <= 100, "%f flushes per second", flushes)
}

func TestBillsOfAnInstanceStuckInLeavingAreTakenOver(t *testing.T) {
	leavingSince := time.Unix(1_000_000, 0)
	leaving := value.Instance{ID: "b", FailureDomain: "a", State: value.InstanceLeaving, Since: leavingSince}
	s := state.New(value.Instance{ID: "self", State: value.InstanceLive}).WithInstance(leaving)
	assert.Assert(t, !query.NeedsBillTakeover(s, "b", leavingSince.Add(10*time.Second)), "the instance may still flush its own bills")
	assert.Assert(t, query.NeedsBillTakeover(s, "b", leavingSince.Add(time.Minute)))
	assert.Assert(t, !query.HasDeparted(s, "b"), "an instance that is leaving still owns its claims")
}
