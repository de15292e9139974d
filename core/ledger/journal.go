package ledger

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Rule bounds a journal and says how long its records last.
type Rule struct {
	// Keep is how long a finished, doubted or released record lasts; the same key is free afterwards.
	Keep time.Duration
	// Wait is how long a run whose holder is gone, or whose deadline has passed, still counts as
	// running; it exceeds the difference between the clocks of instances.
	Wait time.Duration
	// Bytes bounds the journal's stored form.
	Bytes int
	// AnswerBytes bounds the body of an answer that is kept whole.
	AnswerBytes int
}

// Setting is what a decision depends on beside the journal.
type Setting struct {
	Now time.Time
	// Gone reports whether an instance has left for good.
	Gone func(value.InstanceID) bool
}

// Journal is the immutable record of the calls of one slot; the zero value is empty.
type Journal struct {
	records policy.Table[CallID, Record]
	bytes   int
}

// NewJournal returns a journal that holds the records.
func NewJournal(records []Record) Journal {
	entries := make(map[CallID]Record, len(records))
	bytes := 0
	for _, r := range records {
		entries[r.ID] = r
		bytes += r.Size()
	}
	return Journal{records: policy.NewTable(entries), bytes: bytes}
}

// Records returns the records in the order of their identifiers.
func (j Journal) Records() []Record {
	list := make([]Record, 0, j.records.Len())
	for _, r := range j.records.All() {
		list = append(list, r)
	}
	return list
}

// Get returns the record of the call.
func (j Journal) Get(id CallID) (Record, bool) {
	return j.records.Get(id)
}

// Size returns a bound on the bytes of the journal's stored form.
func (j Journal) Size() int {
	return j.bytes
}

// With returns a journal that holds the record.
func (j Journal) With(r Record) Journal {
	j = j.Without(r.ID)
	j.records = j.records.With(r.ID, r)
	j.bytes += r.Size()
	return j
}

// Without returns a journal that lacks the call's record.
func (j Journal) Without(id CallID) Journal {
	old, ok := j.records.Get(id)
	if !ok {
		return j
	}
	j.records = j.records.Without(id)
	j.bytes -= old.Size()
	return j
}
