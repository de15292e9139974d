package ledger

import (
	"slices"
	"time"
)

// swept returns the journal after what time alone brings about: records past their keeping are
// dropped, and a run that nobody can still report on is doubted. A run that may still be under way
// is never dropped.
func (j Journal) swept(rule Rule, at Setting) Journal {
	for id, r := range j.records.All() {
		switch {
		case r.State == RunIntended && abandoned(r, rule, at):
			j = j.With(r.WithState(RunDoubted, at.Now))
		case r.State != RunIntended && at.Now.Sub(r.Since) >= keepOf(r, rule):
			j = j.Without(id)
		}
	}
	return j
}

func abandoned(r Record, rule Rule, at Setting) bool {
	if !at.Now.Before(r.Until.Add(rule.Wait)) {
		return true
	}
	return at.Gone(r.Holder) && at.Now.Sub(r.Since) >= rule.Wait
}

// A released claim has to be remembered only as long as a late copy of it may still come in.
func keepOf(r Record, rule Rule) time.Duration {
	if r.State == RunReleased {
		return rule.Wait
	}
	return rule.Keep
}

// fitted returns the journal with the record; where that takes too many bytes, the oldest kept
// bodies give way first, since a lost body costs an answer and a lost record a second run.
func (j Journal) fitted(r Record, rule Rule) Journal {
	j = j.With(r)
	if j.Size() <= rule.Bytes {
		return j
	}
	for _, old := range j.byAge() {
		if j.Size() <= rule.Bytes {
			return j
		}
		if len(old.Answer.Body) > 0 {
			j = j.With(old.WithAnswer(old.Answer.WithoutBody()))
		}
	}
	return j
}

func (j Journal) byAge() []Record {
	list := j.Records()
	slices.SortStableFunc(list, func(x, y Record) int { return x.Since.Compare(y.Since) })
	return list
}
