package ledger

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// JournalRule bounds the size of a journal and the lifetime of its records.
type JournalRule struct {
	// Retention is how long a finished or in-doubt record is retained; afterwards the same key may be used
	// for a new call.
	Retention time.Duration
	// AbandonAfter is how long after its deadline an execution still counts as running; if its holder has
	// departed, the time counts from the claim. A released record is retained for the same time. It must
	// exceed the clock skew between instances.
	AbandonAfter time.Duration
	// MaxBytes is the maximum size of the journal's stored form.
	MaxBytes int
	// MaxAnswerBytes is the maximum size of an answer's body that is stored.
	MaxAnswerBytes int
}

// DecisionInputs holds the inputs of a decision other than the journal.
type DecisionInputs struct {
	Now time.Time
	// HasDeparted reports whether an instance has permanently departed.
	HasDeparted func(value.InstanceID) bool
}

// Journal is the immutable collection of the records of one hash slot's calls; the zero value is empty.
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

// Size returns an upper bound of the stored form's size in bytes.
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

// Without returns a journal without the call's record.
func (j Journal) Without(id CallID) Journal {
	old, ok := j.records.Get(id)
	if !ok {
		return j
	}
	j.records = j.records.Without(id)
	j.bytes -= old.Size()
	return j
}
