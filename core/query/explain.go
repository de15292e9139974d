package query

import (
	"fmt"
	"strings"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Explanation says in plain words what became of a request.
type Explanation struct {
	Request value.RequestID
	// Lines tells the decisions in order, with what else was considered.
	Lines []string
	// CostMicros is the charge in micro-units of currency; zero where there was none.
	CostMicros int64
	// Billed is set once the request was charged.
	Billed bool
}

// Explain tells the request's decisions, the first one first; the error is value.ChangeRefused where there are none.
func Explain(s state.State, id value.RequestID, decisions []value.Decision) (Explanation, error) {
	if len(decisions) == 0 {
		return Explanation{}, value.ChangeRefused{
			Reason: value.ReasonUnknownRequest,
			Detail: fmt.Sprintf("instance %s keeps no decision about request %s: it may have been served elsewhere or too long ago", s.Self.ID, id),
		}
	}
	x := Explanation{Request: id}
	first := decisions[0]
	x.Lines = append(x.Lines, fmt.Sprintf("Client account %s asked for %s.", first.Account, first.Kind))
	for _, d := range decisions {
		after := d.At.Sub(first.At).Round(time.Microsecond)
		x.Lines = append(x.Lines, fmt.Sprintf("%v: %s", after, tell(d)))
		if d.Step == value.StepPlan {
			x.Lines = append(x.Lines, others(s, d)...)
		}
		if d.Step == value.StepBill {
			x.CostMicros += d.CostMicros
			x.Billed = true
		}
	}
	return x, nil
}

func tell(d value.Decision) string {
	var b strings.Builder
	b.WriteString(otherwise(stepWords, d.Step, ""))
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
	fmt.Fprintf(&b, ", because %s", otherwise(reasonWords, d.Reason, "of this: "))
	if d.Detail != "" {
		fmt.Fprintf(&b, " (%s)", d.Detail)
	}
	b.WriteString(price(d))
	return b.String() + "."
}

// price tells an expected cost from a charge.
func price(d value.Decision) string {
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

// others says why the account's other versions of the model were not chosen, by what is known now.
func others(s state.State, d value.Decision) []string {
	account, _ := s.Account(d.Account)
	kind, _ := s.Kind(d.Kind)
	menu, _ := s.Menu(d.Kind)
	var lines []string
	for _, key := range account.Versions {
		if key == d.Version || key.Model() != kind.Model {
			continue
		}
		lines = append(lines, fmt.Sprintf("    also considered: %s, %s", key, whyNot(menu, key, d, kind)))
	}
	return lines
}

// compared is the prompt's and the answer's length in tokens at which prices are compared for a reader.
const compared = 1000

func whyNot(m state.Menu, key value.VersionKey, d value.Decision, k value.Kind) string {
	i := m.Find(key)
	if i < 0 {
		return "which is withdrawn"
	}
	o := &m.Offers[i]
	lower := o.Bound(d.At).Lower
	switch {
	case o.Held:
		return "which gets new sessions through its roll-out only"
	case lower < k.QualityTarget:
		return fmt.Sprintf("whose quality is certain to be %.3g only, below the target %.3g", lower, k.QualityTarget)
	}
	if j := m.Find(d.Version); j >= 0 {
		mine, other := m.Offers[j].Version.Cost(compared, compared), o.Version.Cost(compared, compared)
		if other > mine {
			return fmt.Sprintf("which costs %.1f times as much", float64(other)/float64(max(mine, 1)))
		}
	}
	return "which would have served as well by what is known now"
}
