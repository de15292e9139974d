package query

import (
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Slot returns the hash slot of the key.
func Slot(key string) int {
	return state.SlotOf(key)
}

// Owner returns the instance that owns the hash slot, and false while none is eligible.
func Owner(s state.State, slot int) (value.Instance, bool) {
	id, ok := s.Owners().Owner(slot)
	if !ok {
		return value.Instance{}, false
	}
	return s.Instance(id)
}

// OwnedSlots returns the hash slots that this instance owns, in ascending order.
func OwnedSlots(s state.State) []int {
	var slots []int
	for slot := range state.Slots {
		if id, ok := s.Owners().Owner(slot); ok && id == s.Self.ID {
			slots = append(slots, slot)
		}
	}
	return slots
}
