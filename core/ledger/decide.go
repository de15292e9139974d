package ledger

// Decide applies the operations in turn and returns the next journal, a verdict for each operation,
// and whether the journal must be written before the verdicts may be acted on.
func (j Journal) Decide(ops []Op, rule Rule, at Setting) (Journal, []Verdict, bool) {
	next := j.swept(rule, at)
	verdicts := make([]Verdict, len(ops))
	changed := false
	for i, op := range ops {
		var wrote bool
		next, verdicts[i], wrote = next.apply(op, rule, at)
		changed = changed || wrote
	}
	return next, verdicts, changed
}

func (j Journal) apply(op Op, rule Rule, at Setting) (Journal, Verdict, bool) {
	r, ok := j.Get(op.ID)
	if op.Verb == VerbClaim {
		return j.claim(op, r, ok, rule, at)
	}
	if !ok && op.Verb == VerbRelease {
		return j.bar(op, rule, at)
	}
	if !ok || r.Token != op.Token {
		return j, Verdict{Outcome: OutcomeForeign, Record: r}, false
	}
	next, wrote := settled(r, op, rule, at)
	if !wrote {
		return j, Verdict{Outcome: OutcomeSettled, Record: r}, false
	}
	fitted := j.fitted(next, rule)
	return fitted, Verdict{Outcome: OutcomeSettled, Record: next}, true
}

// settled returns the record after its own holder's word, which a finished or released run no longer changes.
func settled(r Record, op Op, rule Rule, at Setting) (Record, bool) {
	if r.State == RunFinished || r.State == RunReleased {
		return r, false
	}
	switch op.Verb {
	case VerbFinish:
		answer := op.Answer
		if len(answer.Body) > rule.AnswerBytes {
			answer = answer.WithoutBody()
		}
		return r.WithState(RunFinished, at.Now).WithAnswer(answer), true
	case VerbRelease:
		return r.WithState(RunReleased, at.Now), true
	case VerbDoubt:
		return r.WithState(RunDoubted, at.Now), r.State != RunDoubted
	}
	return r, false
}

// claim grants the call only where no earlier run may have been dispatched.
func (j Journal) claim(op Op, r Record, known bool, rule Rule, at Setting) (Journal, Verdict, bool) {
	if !known || (r.State == RunReleased && r.Token != op.Token) {
		return j.grant(op, rule, at)
	}
	if r.Kind != op.Kind || r.Question != op.Question {
		return j, Verdict{Outcome: OutcomeReused, Record: r}, false
	}
	switch {
	case r.State == RunReleased:
		return j, Verdict{Outcome: OutcomeLate, Record: r}, false
	case r.State == RunFinished:
		return j, Verdict{Outcome: OutcomeAnswered, Record: r}, false
	case r.State == RunDoubted:
		return j, Verdict{Outcome: OutcomeUnknown, Record: r}, false
	case r.Token == op.Token:
		return j, Verdict{Outcome: OutcomeGranted, Record: r}, false
	}
	return j, Verdict{Outcome: OutcomeRunning, Record: r}, false
}

// bar keeps a claim, which was given back before it was seen, from being granted when it comes late.
// The record is written even past the claim's deadline: its write may still be under way, and fails
// once the journal has another revision.
func (j Journal) bar(op Op, rule Rule, at Setting) (Journal, Verdict, bool) {
	r := record(op, at).WithState(RunReleased, at.Now)
	next := j.fitted(r, rule)
	if next.Size() > rule.Bytes {
		return j, Verdict{Outcome: OutcomeSettled}, false
	}
	return next, Verdict{Outcome: OutcomeSettled, Record: r}, true
}

func record(op Op, at Setting) Record {
	return Record{
		ID:       op.ID,
		Kind:     op.Kind,
		Question: op.Question,
		Token:    op.Token,
		Holder:   op.Holder,
		State:    RunIntended,
		Since:    at.Now,
		Until:    op.Until,
	}
}

func (j Journal) grant(op Op, rule Rule, at Setting) (Journal, Verdict, bool) {
	if !op.Until.After(at.Now) {
		return j, Verdict{Outcome: OutcomeLate}, false
	}
	r := record(op, at)
	next := j.fitted(r, rule)
	if next.Size() > rule.Bytes {
		return j, Verdict{Outcome: OutcomeFull}, false
	}
	return next, Verdict{Outcome: OutcomeGranted, Record: r}, true
}
