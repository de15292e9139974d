package query_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

func live(id value.InstanceID) value.Instance {
	return value.Instance{ID: id, FailureDomain: "guj-a", State: value.InstanceLive}
}

func TestSlotsMoveWhenAnInstanceLeavesButNotWhenItIsSuspected(t *testing.T) {
	s := state.New(live("a")).WithInstance(live("b"))
	mine := len(query.OwnedSlots(s))
	assert.Assert(t, mine > 0 && mine < state.Slots)
	suspected := s.WithInstance(live("b").WithState(value.InstanceSuspected))
	assert.Equal(t, len(query.OwnedSlots(suspected)), mine)
	gone := s.WithInstance(live("b").WithState(value.InstanceGone))
	assert.Equal(t, len(query.OwnedSlots(gone)), state.Slots)
	leaving := s.WithLeaving()
	assert.Equal(t, len(query.OwnedSlots(leaving)), 0)
	owner, ok := query.Owner(leaving, query.Slot("reorder-1"))
	assert.Assert(t, ok)
	assert.Equal(t, owner.ID, value.InstanceID("b"))
}

func TestNoOwnerWithoutInstances(t *testing.T) {
	_, ok := query.Owner(state.New(live("a")).WithLeaving(), 0)
	assert.Assert(t, !ok)
}
