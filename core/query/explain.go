package query

import (
	"fmt"
	"strings"
	"time"
	"unicode"

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

var verbs = map[value.Step]string{
	value.StepAdmit:    "admission",
	value.StepQueue:    "the queue",
	value.StepPlan:     "the choice of version",
	value.StepRoute:    "the choice of backend server",
	value.StepRetry:    "another try",
	value.StepHedge:    "a second run beside the first",
	value.StepEscalate: "the next version of the cascade",
	value.StepShare:    "sharing of a run",
	value.StepRefuse:   "refusal",
	value.StepBill:     "the bill",
}

var reasons = map[value.Reason]string{
	value.ReasonCheapest:       "it is the cheapest that is known to meet the quality target",
	value.ReasonBestEffort:     "no allowed version is known to meet the quality target, and it is the best there is",
	value.ReasonPinned:         "the session keeps its version",
	value.ReasonStage:          "the roll-out's present stage sends this session to it",
	value.ReasonLeastLoaded:    "it had the least work of those compared",
	value.ReasonServerFailed:   "the backend server failed",
	value.ReasonAnswered:       "the answer was whole",
	value.ReasonAdmitted:       "the client account may send it and there was room",
	value.ReasonWaiting:        "it had to wait for capacity",
	value.ReasonVersionRetired: "the session's version has been withdrawn",
}

func tell(d value.Decision) string {
	var b strings.Builder
	b.WriteString(verb(d.Step))
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
	fmt.Fprintf(&b, ", because %s", reason(d.Reason))
	if d.Detail != "" {
		fmt.Fprintf(&b, " (%s)", d.Detail)
	}
	if d.CostMicros > 0 {
		fmt.Fprintf(&b, "; it cost %d micro-units", d.CostMicros)
	}
	return b.String() + "."
}

func verb(s value.Step) string {
	if text, ok := verbs[s]; ok {
		return text
	}
	return words(string(s))
}

func reason(r value.Reason) string {
	if text, ok := reasons[r]; ok {
		return text
	}
	return "of this: " + words(string(r))
}

// others says why the account's other versions of the model were not chosen, by the document in force now.
func others(s state.State, d value.Decision) []string {
	account, _ := s.Account(d.Account)
	kind, _ := s.Kind(d.Kind)
	chosen, _ := s.Version(d.Version)
	var lines []string
	for _, key := range account.Versions {
		v, ok := s.Version(key)
		if !ok || key == d.Version || key.Model() != d.Version.Model() {
			continue
		}
		lines = append(lines, fmt.Sprintf("    also considered: %s, %s", key, whyNot(v, chosen, kind)))
	}
	return lines
}

// compared is the answer's length in tokens at which prices are compared for a reader.
const compared = 1000

func whyNot(v, chosen value.Version, k value.Kind) string {
	mine, other := chosen.Cost(compared, compared), v.Cost(compared, compared)
	switch {
	case v.Withdrawn:
		return "which is withdrawn"
	case v.Quality < k.QualityTarget:
		return fmt.Sprintf("whose stated quality %.3g is below the target %.3g", v.Quality, k.QualityTarget)
	case other > mine:
		return fmt.Sprintf("which costs %.1f times as much", float64(other)/float64(max(mine, 1)))
	}
	return "which was held back by its ratings, its roll-out or its backend servers"
}

// words turns a name in Pascal case into words.
func words(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte(' ')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
