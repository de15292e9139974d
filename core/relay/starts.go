package relay

import "time"

const (
	// startSlots is the number of slots of AnswerStarts, and startSlotTime the length of each.
	startSlots    = 64
	startSlotTime = 250 * time.Millisecond
)

// AnswerStarts counts, by time, the answers that began at a service lately.
type AnswerStarts struct {
	// base is the time of the first start, from which slots are counted.
	base  time.Time
	slots [startSlots]startSlot
}

type startSlot struct {
	number int
	starts int
}

// With returns a copy that counts a start.
func (s AnswerStarts) With(at time.Time) AnswerStarts {
	if s.base.IsZero() {
		s.base = at
	}
	number := s.slotOf(at)
	slot := &s.slots[number%startSlots]
	if slot.number != number {
		*slot = startSlot{number: number}
	}
	slot.starts++
	return s
}

// slotOf returns the number of the time's slot; earlier times than base are in slot 0.
func (s AnswerStarts) slotOf(at time.Time) int {
	return int(max(0, at.Sub(s.base)) / startSlotTime)
}

// Between counts the starts in the slots after that of one time and before that of another.
func (s AnswerStarts) Between(from, to time.Time) int {
	first, last := s.slotOf(from), s.slotOf(to)
	n := 0
	for _, slot := range s.slots {
		if slot.number > first && slot.number < last {
			n += slot.starts
		}
	}
	return n
}
