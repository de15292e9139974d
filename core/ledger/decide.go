package ledger

// Decide applies the operations in order and returns the next journal, a verdict for each operation,
// and whether the journal must be written before the verdicts may be acted on.
//
// Expiry alone does not require a write, since the next Decide computes it again.
func (j Journal) Decide(ops []Op, rule JournalRule, inputs DecisionInputs) (Journal, []Verdict, bool) {
	next := j.withTimeouts(rule, inputs)
	verdicts := make([]Verdict, len(ops))
	changed := false
	for i, op := range ops {
		var wrote bool
		next, verdicts[i], wrote = next.apply(op, rule, inputs)
		changed = changed || wrote
	}
	return next, verdicts, changed
}

func (j Journal) apply(op Op, rule JournalRule, inputs DecisionInputs) (Journal, Verdict, bool) {
	r, known := j.Get(op.ID)
	if op.Verb == VerbClaim {
		return j.claim(op, r, known, rule, inputs)
	}
	if !known && op.Verb == VerbRelease {
		return j.recordRelease(op, rule, inputs)
	}
	if !known || r.Token != op.Token {
		return j, Verdict{Outcome: OutcomeNotHeld, Record: r}, false
	}
	next, changed := afterHolderOp(r, op, rule, inputs)
	if !changed {
		return j, Verdict{Outcome: OutcomeSettled, Record: r}, false
	}
	fitted := j.withRecordFitted(next, rule)
	return fitted, Verdict{Outcome: OutcomeSettled, Record: next}, true
}

// afterHolderOp returns the record after an operation with the record's own token, and whether the
// record has changed; a finished or released record does not change any more.
func afterHolderOp(r Record, op Op, rule JournalRule, inputs DecisionInputs) (Record, bool) {
	if r.State == RunFinished || r.State == RunReleased {
		return r, false
	}
	switch op.Verb {
	case VerbFinish:
		answer := op.Answer
		if len(answer.Body) > rule.MaxAnswerBytes {
			answer = answer.WithoutBody()
		}
		return r.WithState(RunFinished, inputs.Now).WithAnswer(answer), true
	case VerbRelease:
		return r.WithState(RunReleased, inputs.Now), true
	case VerbMarkInDoubt:
		return r.WithState(RunInDoubt, inputs.Now), r.State != RunInDoubt
	}
	return r, false
}

// claim grants the claim only where no earlier execution of the call may have been dispatched.
func (j Journal) claim(op Op, r Record, known bool, rule JournalRule, inputs DecisionInputs) (Journal, Verdict, bool) {
	if !known || (r.State == RunReleased && r.Token != op.Token) {
		return j.grant(op, rule, inputs)
	}
	if r.Kind != op.Kind || r.RequestHash != op.RequestHash {
		return j, Verdict{Outcome: OutcomeReused, Record: r}, false
	}
	switch {
	case r.State == RunReleased:
		return j, Verdict{Outcome: OutcomeLate, Record: r}, false
	case r.State == RunFinished:
		return j, Verdict{Outcome: OutcomeAnswered, Record: r}, false
	case r.State == RunInDoubt:
		return j, Verdict{Outcome: OutcomeUnknown, Record: r}, false
	case r.Token == op.Token:
		return j, Verdict{Outcome: OutcomeGranted, Record: r}, false
	}
	return j, Verdict{Outcome: OutcomeRunning, Record: r}, false
}

// recordRelease handles a release that arrives before its claim: it adds a released record, so that the
// late claim is not granted. The record is added even after the claim's deadline, because the write that
// adds the claim may still be in progress; that write fails once the journal has another revision. A
// journal without space for the record stays as it is.
func (j Journal) recordRelease(op Op, rule JournalRule, inputs DecisionInputs) (Journal, Verdict, bool) {
	r := newRecord(op, inputs).WithState(RunReleased, inputs.Now)
	next := j.withRecordFitted(r, rule)
	if next.Size() > rule.MaxBytes {
		return j, Verdict{Outcome: OutcomeSettled}, false
	}
	return next, Verdict{Outcome: OutcomeSettled, Record: r}, true
}

func newRecord(op Op, inputs DecisionInputs) Record {
	return Record{
		ID:          op.ID,
		Kind:        op.Kind,
		RequestHash: op.RequestHash,
		Token:       op.Token,
		Holder:      op.Holder,
		State:       RunIntended,
		Since:       inputs.Now,
		Until:       op.Until,
	}
}

func (j Journal) grant(op Op, rule JournalRule, inputs DecisionInputs) (Journal, Verdict, bool) {
	if !op.Until.After(inputs.Now) {
		return j, Verdict{Outcome: OutcomeLate}, false
	}
	r := newRecord(op, inputs)
	next := j.withRecordFitted(r, rule)
	if next.Size() > rule.MaxBytes {
		return j, Verdict{Outcome: OutcomeFull}, false
	}
	return next, Verdict{Outcome: OutcomeGranted, Record: r}, true
}
