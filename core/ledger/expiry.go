package ledger

import (
	"slices"
	"time"
)

// withTimeouts returns the journal with the changes that time alone brings about: expired records are
// removed, and abandoned executions become in doubt. The record of an execution that may still be in
// progress is never removed.
func (j Journal) withTimeouts(rule JournalRule, setting DecisionInputs) Journal {
	for id, r := range j.records.All() {
		switch {
		case r.State == RunIntended && isAbandoned(r, rule, setting):
			j = j.With(r.WithState(RunInDoubt, setting.Now))
		case r.State != RunIntended && setting.Now.Sub(r.Since) >= retentionOf(r, rule):
			j = j.Without(id)
		}
	}
	return j
}

// isAbandoned reports whether the execution's deadline has passed or its holder has departed, and
// rule.Wait has passed as well, so that the holder is not expected to report a result any more.
func isAbandoned(r Record, rule JournalRule, setting DecisionInputs) bool {
	if !setting.Now.Before(r.Until.Add(rule.AbandonAfter)) {
		return true
	}
	return setting.HasDeparted(r.Holder) && setting.Now.Sub(r.Since) >= rule.AbandonAfter
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
// answers are dropped, the oldest first, until it fits. Records are never dropped for space: without
// its body an answer can't be returned again, but without its record a call could execute twice.
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
