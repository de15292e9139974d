package query

import (
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Slot returns the slot that the key belongs to.
func Slot(key string) int {
	return state.SlotOf(key)
}

// Owner returns the instance that owns the slot, and false while no instance can.
func Owner(s state.State, slot int) (value.Instance, bool) {
	id, ok := s.Owners().Owner(slot)
	if !ok {
		return value.Instance{}, false
	}
	return s.Instance(id)
}

// OwnedSlots returns the slots that the instance itself owns, in order.
func OwnedSlots(s state.State) []int {
	var slots []int
	for slot := range state.Slots {
		if id, ok := s.Owners().Owner(slot); ok && id == s.Self.ID {
			slots = append(slots, slot)
		}
	}
	return slots
}
