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

// audit prints the counts and reports whether nothing was lost or doubled.
func audit(ctx context.Context, s *stand, d *drive) (bool, error) {
	segments, err := bills.Read(ctx, s.store)
	if err != nil {
		return false, fmt.Errorf("read bills: %w", err)
	}
	var t tally
	for _, o := range d.outcomes {
		t.add(o)
	}
	effects := s.effects()
	for _, n := range effects {
		if n > 1 {
			t.doubledEffects++
		}
	}
	for key := range t.keys {
		if effects[key] == 0 {
			t.lostEffects++
		}
	}
	a := query.Reconcile(segments, t.billable)
	say("wishes %d, answered %d, outcome unknown %d, given up %d", len(d.outcomes), len(t.answered), t.unknown, t.lost)
	say("tries refused or cut off, by reason: %v", d.refused)
	slices.Sort(t.took)
	say("time to the answer: median %s, 99 in 100 %s", t.took[len(t.took)/2], t.took[len(t.took)*99/100])
	say("orders %d, effects %d, doubled effects %d, answered without effect %d", len(t.keys), len(effects), t.doubledEffects, t.lostEffects)
	say("bills %d, answers without a bill %d, requests billed twice %d, bills of earlier tries %d",
		len(a.Charges), len(a.Missing), len(a.Duplicated), len(a.Unknown))
	whole := t.lost == 0 && t.doubledEffects == 0 && t.lostEffects == 0 && len(a.Missing) == 0 && len(a.Duplicated) == 0
	if whole {
		say("nothing lost and nothing doubled")
	} else {
		say("FAILED")
	}
	return whole, nil
}

// tally counts how callers' wishes ended.
type tally struct {
	answered []value.RequestID
	// billable lists the answered requests that ran; a kept answer that is given again is not billed.
	billable       []value.RequestID
	keys           map[string]bool
	took           []time.Duration
	unknown        int
	lost           int
	doubledEffects int
	lostEffects    int
}

func (t *tally) add(o outcome) {
	if t.keys == nil {
		t.keys = make(map[string]bool)
	}
	switch {
	case o.answered == "" && o.unknown:
		t.unknown++
		return
	case o.answered == "":
		t.lost++
		return
	}
	t.answered = append(t.answered, o.answered)
	t.took = append(t.took, o.took)
	if o.key != "" {
		t.keys[o.key] = true
	}
	if o.key == "" || o.tries == 1 {
		t.billable = append(t.billable, o.answered)
	}
}
