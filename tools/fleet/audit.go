package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/bills"
)

// audit prints the counts and reports whether nothing was lost or duplicated.
func audit(ctx context.Context, standIns *standIns, load *loadGenerator) (bool, error) {
	segments, err := bills.ReadSegments(ctx, standIns.store)
	if err != nil {
		return false, fmt.Errorf("read bills: %w", err)
	}
	var counts tally
	for _, o := range load.outcomes {
		counts.add(o)
	}
	effects := standIns.effects()
	for _, n := range effects {
		if n > 1 {
			counts.duplicateEffects++
		}
	}
	for key := range counts.keys {
		if effects[key] == 0 {
			counts.missingEffects++
		}
	}
	reconciliation := query.Reconcile(segments, counts.billable)
	logProgress("operations %d, answered %d, outcome unknown %d, given up %d", len(load.outcomes), len(counts.answered), counts.unknown, counts.unanswered)
	logProgress("requests refused or cut off, by reason: %v", load.refused)
	slices.Sort(counts.durations)
	logProgress("time to the answer: median %s, 99th percentile %s", counts.durations[len(counts.durations)/2], counts.durations[len(counts.durations)*99/100])
	logProgress("orders %d, effects %d, duplicate effects %d, answered without effect %d", len(counts.keys), len(effects), counts.duplicateEffects, counts.missingEffects)
	logProgress("bills %d, answers without a bill %d, requests billed twice %d, bills of other requests %d",
		len(reconciliation.Charges), len(reconciliation.Missing), len(reconciliation.Duplicated), len(reconciliation.Unknown))
	passed := counts.unanswered == 0 && counts.duplicateEffects == 0 && counts.missingEffects == 0 && len(reconciliation.Missing) == 0 && len(reconciliation.Duplicated) == 0
	if passed {
		logProgress("nothing lost and nothing duplicated")
	} else {
		logProgress("FAILED")
	}
	return passed, nil
}

// tally sums up how the callers' operations ended.
type tally struct {
	answered []value.RequestID
	// billable lists the answered requests that must have a bill. A keyed request that was answered
	// on a retry is left out: its answer may be a stored one, which is not billed again.
	billable         []value.RequestID
	keys             map[string]bool
	durations        []time.Duration
	unknown          int
	unanswered       int
	duplicateEffects int
	missingEffects   int
}

func (t *tally) add(o outcome) {
	if t.keys == nil {
		t.keys = make(map[string]bool)
	}
	switch {
	case o.answeredRequest == "" && o.isUnknown:
		t.unknown++
		return
	case o.answeredRequest == "":
		t.unanswered++
		return
	}
	t.answered = append(t.answered, o.answeredRequest)
	t.durations = append(t.durations, o.duration)
	if o.key != "" {
		t.keys[o.key] = true
	}
	if o.key == "" || o.tries == 1 {
		t.billable = append(t.billable, o.answeredRequest)
	}
}
