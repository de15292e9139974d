package ledger

import (
	"slices"
	"time"
)

// withTimeouts returns the journal with the changes that time alone brings about: expired records are
// removed, and abandoned executions become in doubt. The record of an execution that may still be in
// progress is never removed.
func (j Journal) withTimeouts(rule JournalRule, inputs DecisionInputs) Journal {
	for id, r := range j.records.All() {
		switch {
		case r.State == RunIntended && isAbandoned(r, rule, inputs):
			j = j.With(r.WithState(RunInDoubt, inputs.Now))
		case r.State != RunIntended && inputs.Now.Sub(r.Since) >= retentionOf(r, rule):
			j = j.Without(id)
		}
	}
	return j
}

// isAbandoned reports whether rule.AbandonAfter has passed since the execution's deadline or, if its
// holder has departed, since its claim: then the holder is not expected to report a result any more.
func isAbandoned(r Record, rule JournalRule, inputs DecisionInputs) bool {
	if !inputs.Now.Before(r.Until.Add(rule.AbandonAfter)) {
		return true
	}
	return inputs.HasDeparted(r.Holder) && inputs.Now.Sub(r.Since) >= rule.AbandonAfter
}

// retentionOf returns how long the record is retained. A released claim is needed only for as long as a
// delayed copy of the claim may still arrive.
func retentionOf(r Record, rule JournalRule) time.Duration {
	if r.State == RunReleased {
		return rule.AbandonAfter
	}
	return rule.Retention
}

// withRecordFitted returns the journal with the record. If that exceeds the maximum size, bodies of
// answers are dropped, the oldest first, until it fits or none is left; a caller that adds a new record
// checks whether it then fits. Records are never dropped for space: without its body an answer can't be
// returned again, but without its record a call could execute twice.
func (j Journal) withRecordFitted(r Record, rule JournalRule) Journal {
	j = j.With(r)
	if j.Size() <= rule.MaxBytes {
		return j
	}
	for _, old := range j.recordsByAge() {
		if j.Size() <= rule.MaxBytes {
			return j
		}
		if len(old.Answer.Body) > 0 {
			j = j.With(old.WithAnswer(old.Answer.WithoutBody()))
		}
	}
	return j
}

func (j Journal) recordsByAge() []Record {
	list := j.Records()
	slices.SortStableFunc(list, func(x, y Record) int { return x.Since.Compare(y.Since) })
	return list
}
