package query_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

func TestExplainListsAlternativesAndCost(t *testing.T) {
	document := value.Document{
		ClientAccounts: []value.ClientAccount{{Name: "ward", Versions: []value.VersionKey{"m/s", "m/l", "m/x", "m/h", "m/w"}}},
		Models: []value.Model{{Name: "m", Versions: []value.Version{
			{Name: "s", OutputMicros: 100, Quality: 0.9},
			{Name: "l", OutputMicros: 250, Quality: 0.99, QualityWeight: 1000},
			{Name: "x", OutputMicros: 10, Quality: 0, QualityWeight: 1000},
			{Name: "h", OutputMicros: 10, Quality: 0.99, QualityWeight: 1000},
			{Name: "w", OutputMicros: 10, Quality: 0.99, Withdrawn: true},
		}}},
		Kinds:    []value.Kind{{Name: "draft", Model: "m", QualityTarget: 0.9}},
		RollOuts: []value.RollOut{{Name: "r", Model: "m", From: "s", To: "h", Stages: []value.Stage{{Percent: 100}}}},
	}
	s := state.New(value.Instance{ID: "a"}).WithConfig(value.AcceptedDocument{Document: document, Revision: 1})
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := value.Request{ID: "q", Account: "ward", Kind: "draft"}
	decisions := []value.Decision{
		value.NewDecision(r, value.StepPlan, start).WithChoice("m/s", "", 4, value.ReasonCheapest),
		value.NewDecision(r, value.StepRetry, start.Add(time.Millisecond)).WithReason("SomethingNew", "connection reset"),
		value.NewDecision(r, value.StepBill, start.Add(time.Second)).WithChoice("m/s", "s-1", 1, value.ReasonAnswered).WithCost(42),
	}
	got, err := query.Explain(s, "q", decisions)
	assert.NilError(t, err)
	assert.Equal(t, got.CostMicros, int64(42))
	assert.Assert(t, got.Billed)
	assert.DeepEqual(t, got.Lines, []string{
		"Client account ward asked for draft.",
		"0s: the choice of version: version m/s, out of 4, because it is the cheapest that is known to meet the quality target.",
		"    also considered: m/l, which costs 2.5 times as much",
		"    also considered: m/x, whose quality is certain to be 0 only, below the target 0.9",
		"    also considered: m/h, which gets new sessions through its roll-out only",
		"    also considered: m/w, which is withdrawn",
		"1ms: another try, because of this: something new (connection reset).",
		"1s: the bill: version m/s at backend server s-1, because the answer was whole; it cost 42 micro-units.",
	})
	_, err = query.Explain(s, "other", nil)
	assert.ErrorType(t, err, value.ChangeRefused{})
}

func TestEveryReasonHasAnExplanation(t *testing.T) {
	for _, name := range reasonConstants(t, "decision.go", "refusal.go") {
		d := value.Decision{Request: "q", Step: value.StepPlan, Reason: value.Reason(name)}
		x, err := query.Explain(state.New(value.Instance{}), "q", []value.Decision{d})
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(x.Lines[1], "because of this"), "no text for reason %s", name)
	}
}

// reasonConstants returns the values of the Reason constants that the files of core/value declare.
func reasonConstants(t *testing.T, files ...string) []string {
	t.Helper()
	var texts []string
	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), "../value/"+file, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 {
				return true
			}
			typed, ok := spec.Type.(*ast.Ident)
			if ok && typed.Name == "Reason" {
				texts = append(texts, strings.Trim(spec.Values[0].(*ast.BasicLit).Value, "\""))
			}
			return true
		})
	}
	assert.Assert(t, len(texts) > 30)
	return texts
}
