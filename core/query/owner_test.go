package query_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

func liveInstance(id value.InstanceID) value.Instance {
	return value.Instance{ID: id, FailureDomain: "guj-a", State: value.InstanceLive}
}

func TestSlotsMoveWhenAnInstanceLeavesButNotWhenItIsSuspected(t *testing.T) {
	s := state.New(liveInstance("a")).WithInstance(liveInstance("b"))
	owned := len(query.OwnedSlots(s))
	assert.Assert(t, owned > 0 && owned < state.Slots)
	suspected := s.WithInstance(liveInstance("b").WithState(value.InstanceSuspected))
	assert.Equal(t, len(query.OwnedSlots(suspected)), owned)
	departed := s.WithInstance(liveInstance("b").WithState(value.InstanceGone))
	assert.Equal(t, len(query.OwnedSlots(departed)), state.Slots)
	leaving := s.WithLeaving()
	assert.Equal(t, len(query.OwnedSlots(leaving)), 0)
	owner, ok := query.Owner(leaving, query.Slot("reorder-1"))
	assert.Assert(t, ok)
	assert.Equal(t, owner.ID, value.InstanceID("b"))
}

func TestSlotHasNoOwnerWhenTheOnlyInstanceIsLeaving(t *testing.T) {
	_, ok := query.Owner(state.New(liveInstance("a")).WithLeaving(), 0)
	assert.Assert(t, !ok)
}
