package query_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

const (
	small = value.VersionKey("drafting-llm/small")
	large = value.VersionKey("drafting-llm/large")
	next  = value.VersionKey("drafting-llm/next")
)

func document() value.Document {
	judge := value.Judge{CostMicros: 50, Latency: time.Second, AcceptGood: 0.95, AcceptBad: 0.05}
	return value.Document{
		ClientAccounts: []value.ClientAccount{
			{Name: "ward-12", Versions: []value.VersionKey{small, large, next}, Kinds: []value.KindName{"spelling", "draft", "reorder"}},
			{Name: "ward-13", Versions: []value.VersionKey{small, large}, Kinds: []value.KindName{"spelling"}},
		},
		Models: []value.Model{{Name: "drafting-llm", Versions: []value.Version{
			{Name: "small", InputMicros: 100, OutputMicros: 300, Quality: 0.8, QualityWeight: 200, FirstToken: time.Second},
			{Name: "large", InputMicros: 1000, OutputMicros: 3000, Quality: 0.97, QualityWeight: 1000, FirstToken: 5 * time.Second},
			{Name: "next", InputMicros: 1000, OutputMicros: 3000, Quality: 0.97, QualityWeight: 1000},
		}}},
		Kinds: []value.Kind{
			{Name: "spelling", Model: "drafting-llm", QualityTarget: 0.75, Idempotent: true, MaxTokens: 1000},
			{Name: "draft", Model: "drafting-llm", QualityTarget: 0.9, Idempotent: true, MaxTokens: 1000, Judge: judge},
			{Name: "reorder", Model: "drafting-llm", QualityTarget: 0.9, MaxTokens: 1000, Judge: judge},
		},
		RollOuts: []value.RollOut{{
			Name: "next", Model: "drafting-llm", From: "large", To: "next", MaxErrorRate: 0.02, MinQuality: 0.9,
			Stages: []value.Stage{{Percent: 10, MinTime: time.Hour}, {Percent: 50}},
		}},
	}
}

func installed(d value.Document) state.State {
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: d, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), start)
	return s
}

func request(kind value.KindName, id int) value.Request {
	return value.Request{
		ID: value.RequestID(fmt.Sprint("r", id)), Account: "ward-12", Kind: kind, Key: "k",
		Deadline: start.Add(time.Minute), InputTokens: 1000, MaxTokens: 1000,
	}
}

func choose(t *testing.T, s state.State, r value.Request, now time.Time) query.Plan {
	t.Helper()
	a, err := query.Admit(s, r, start)
	assert.NilError(t, err)
	p, err := query.ChoosePlan(s, a, r, now)
	assert.NilError(t, err)
	return p
}

// countLastVersions plans 2000 requests and counts the plans by their last version.
func countLastVersions(t *testing.T, s state.State, kind value.KindName, withSession bool) map[value.VersionKey]int {
	t.Helper()
	got := make(map[value.VersionKey]int)
	for i := range 2000 {
		r := request(kind, i)
		if withSession {
			r.Session = value.SessionID(fmt.Sprint("s", i))
		}
		got[choose(t, s, r, start).Last()]++
	}
	return got
}

// withRatings adds ratings, with the rejected ones spread evenly among them.
func withRatings(s state.State, kind value.KindName, v value.VersionKey, accepted, rejected int, at time.Time) state.State {
	n := accepted + rejected
	for i := range n {
		isRejected := (i+1)*rejected/n > i*rejected/n
		s = s.WithRating(value.Rating{Kind: kind, Version: v, Accepted: !isRejected, At: at})
	}
	return s.WithCandidates(kind)
}

func TestChoosesCheapestVersionWhoseLowerBoundMeetsTarget(t *testing.T) {
	s := installed(document())
	p := choose(t, s, request("spelling", 1), start)
	assert.Equal(t, p.Reason, value.ReasonCheapest)
	assert.DeepEqual(t, p.Versions, []value.VersionKey{small})

	s = withRatings(s, "spelling", small, 65, 35, start)
	p = choose(t, s, request("spelling", 1), start)
	assert.DeepEqual(t, p.Versions, []value.VersionKey{large})
}

func TestChoosesBestLowerBoundWhenNoVersionMeetsTarget(t *testing.T) {
	d := document()
	d.Kinds[0] = d.Kinds[0].WithQualityTarget(0.999)
	p := choose(t, installed(d), request("spelling", 1), start)
	assert.Equal(t, p.Reason, value.ReasonBestEffort)
	assert.DeepEqual(t, p.Versions, []value.VersionKey{large})
}

func TestMissingRatingsMoveRequestsToTheMoreExpensiveVersion(t *testing.T) {
	s := withRatings(installed(document()), "spelling", small, 40, 10, start)
	assert.Equal(t, choose(t, s, request("spelling", 1), start).Last(), small)
	assert.Equal(t, choose(t, s, request("spelling", 1), start.Add(48*time.Hour)).Last(), large)
}

func TestCascadeNeedsTimeAnIdempotentKindAndNoSession(t *testing.T) {
	s := installed(document())
	p := choose(t, s, request("draft", 1), start)
	assert.Equal(t, p.Reason, value.ReasonCascade)
	assert.DeepEqual(t, p.Versions, []value.VersionKey{small, large})
	assert.Assert(t, p.CostMicros < 4000 && p.CostMicros > 400, "%d", p.CostMicros)

	shortDeadline := request("draft", 1).WithDeadline(start.Add(6 * time.Second))
	assert.DeepEqual(t, choose(t, s, shortDeadline, start).Versions, []value.VersionKey{large})

	inSession := request("draft", 1)
	inSession.Session = "s"
	assert.Assert(t, !choose(t, s, inSession, start).IsCascade(), "a cascade would change the version of a session")
	assert.Assert(t, !choose(t, s, request("reorder", 1), start).IsCascade(), "a kind that is not idempotent must not use a cascade")
}

func TestExplorationShareIsBounded(t *testing.T) {
	s := withRatings(installed(document()), "spelling", small, 71, 29, start)
	got := countLastVersions(t, s, "spelling", true)
	assert.Assert(t, got[small] > 0, "a version that may meet the target is not explored")
	assert.Assert(t, got[small] < 2000*54/100, "explored with more than half of the sessions: %v", got)

	d := document()
	d.Kinds[0] = d.Kinds[0].WithQualityTarget(0.955)
	d.Models[0].Versions[0].QualityWeight = 1
	got = countLastVersions(t, installed(d), "spelling", true)
	assert.Assert(t, got[small] > 0 && got[small] < 100, "without surplus quality only the minimum share is explored: %v", got)

	belowTarget := withRatings(s, "spelling", small, 0, 300, start)
	assert.Equal(t, countLastVersions(t, belowTarget, "spelling", true)[small], 0)
}

func TestVersionWithoutServersIsNotChosen(t *testing.T) {
	s := installed(document()).WithServer(value.BackendServer{ID: "l1", State: value.ServerLive, Versions: []value.VersionKey{large}})
	assert.Equal(t, choose(t, s, request("spelling", 1), start).Last(), large)
}

func TestAccountsGetOnlyTheirAllowedVersions(t *testing.T) {
	d := document()
	d.ClientAccounts[0] = d.ClientAccounts[0].WithVersions(large)
	assert.Equal(t, choose(t, installed(d), request("spelling", 1), start).Last(), large)
	d.ClientAccounts[0] = d.ClientAccounts[0].WithVersions()
	a, err := query.Admit(installed(d), request("spelling", 1), start)
	assert.NilError(t, err)
	_, err = query.ChoosePlan(installed(d), a, request("spelling", 1), start)
	assert.ErrorContains(t, err, string(value.ReasonNoVersion))
}
