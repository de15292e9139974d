package query

import (
	"fmt"
	"strings"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Explanation describes for an operator how a request was handled.
type Explanation struct {
	Request value.RequestID
	// Lines describes the decisions in order, each plan with the versions that were not chosen.
	Lines []string
	// CostMicros is the charge in micro-units of currency; zero if there was none.
	CostMicros int64
	// Billed is set once the request was charged.
	Billed bool
}

// Explain describes the request's decisions, which are given in the order of time; without any the
// error is a value.ChangeRefused.
func Explain(s state.State, id value.RequestID, decisions []value.Decision) (Explanation, error) {
	if len(decisions) == 0 {
		return Explanation{}, value.ChangeRefused{
			Reason: value.ReasonUnknownRequest,
			Detail: fmt.Sprintf("instance %s keeps no decision about request %s: it may have been served elsewhere or too long ago", s.Self.ID, id),
		}
	}
	explanation := Explanation{Request: id}
	first := decisions[0]
	explanation.Lines = append(explanation.Lines, fmt.Sprintf("Client account %s asked for %s.", first.Account, first.Kind))
	for _, d := range decisions {
		elapsed := d.At.Sub(first.At).Round(time.Microsecond)
		explanation.Lines = append(explanation.Lines, fmt.Sprintf("%v: %s", elapsed, describe(d)))
		if d.Step == value.StepPlan {
			explanation.Lines = append(explanation.Lines, alternatives(s, d)...)
		}
		if d.Step == value.StepBill {
			explanation.CostMicros += d.CostMicros
			explanation.Billed = true
		}
	}
	return explanation, nil
}

func describe(d value.Decision) string {
	var b strings.Builder
	b.WriteString(textOf(stepTexts, d.Step, ""))
	switch {
	case d.Server != "" && d.Version != "":
		fmt.Fprintf(&b, ": version %s at backend server %s", d.Version, d.Server)
	case d.Server != "":
		fmt.Fprintf(&b, ": backend server %s", d.Server)
	case d.Version != "":
		fmt.Fprintf(&b, ": version %s", d.Version)
	}
	if d.Candidates > 1 {
		fmt.Fprintf(&b, ", out of %d", d.Candidates)
	}
	fmt.Fprintf(&b, ", because %s", textOf(reasonTexts, d.Reason, "of this: "))
	if d.Detail != "" {
		fmt.Fprintf(&b, " (%s)", d.Detail)
	}
	b.WriteString(describeCost(d))
	return b.String() + "."
}

// describeCost states the decision's cost as a charge, as spending so far or as an estimate, by its
// step.
func describeCost(d value.Decision) string {
	if d.CostMicros == 0 {
		return ""
	}
	switch d.Step {
	case value.StepBill:
		return fmt.Sprintf("; it cost %d micro-units", d.CostMicros)
	case value.StepEscalate:
		return fmt.Sprintf("; %d micro-units were spent so far", d.CostMicros)
	}
	return fmt.Sprintf("; it was expected to cost %d micro-units at most", d.CostMicros)
}

// alternatives says for each other version of the model that the account may use why it was not
// chosen. It judges by the present state, which may differ from that at the time of the decision.
func alternatives(s state.State, d value.Decision) []string {
	account, _ := s.Account(d.Account)
	kind, _ := s.Kind(d.Kind)
	set, _ := s.Candidates(d.Kind)
	var lines []string
	for _, key := range account.Versions {
		if key == d.Version || key.Model() != kind.Model {
			continue
		}
		lines = append(lines, fmt.Sprintf("    also considered: %s, %s", key, reasonNotChosen(set, key, d, kind)))
	}
	return lines
}

// comparedTokens is the length in tokens, of prompt and answer each, at which prices are compared.
const comparedTokens = 1000

func reasonNotChosen(set state.CandidateSet, key value.VersionKey, d value.Decision, kind value.Kind) string {
	i := set.Find(key)
	if i < 0 {
		return "which is withdrawn"
	}
	candidate := &set.Candidates[i]
	lower := candidate.Bound(d.At).Lower
	switch {
	case candidate.RollOutOnly:
		return "which gets new sessions through its roll-out only"
	case lower < kind.QualityTarget:
		return fmt.Sprintf("whose quality is certain to be %.3g only, below the target %.3g", lower, kind.QualityTarget)
	}
	if j := set.Find(d.Version); j >= 0 {
		chosenCost, otherCost := set.Candidates[j].Version.Cost(comparedTokens, comparedTokens), candidate.Version.Cost(comparedTokens, comparedTokens)
		if otherCost > chosenCost {
			return fmt.Sprintf("which costs %.1f times as much", float64(otherCost)/float64(max(chosenCost, 1)))
		}
	}
	return "which would have served as well by what is known now"
}
