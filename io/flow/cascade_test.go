package flow_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

const (
	small = value.VersionKey("drafting-llm/small")
	large = value.VersionKey("drafting-llm/large")
)

// answer is a scripted answer of one version.
type answer struct {
	pieces []string
	err    error
}

func (a *answer) Head() engine.Head   { return engine.Head{Status: 200} }
func (a *answer) Usage() engine.Usage { return engine.Usage{InputTokens: 1000, OutputTokens: 1000} }
func (a *answer) Cancel()             {}

func (a *answer) Next(context.Context) (engine.Piece, error) {
	if len(a.pieces) == 0 {
		return engine.Piece{}, a.err
	}
	p := engine.Piece{Data: []byte(a.pieces[0])}
	a.pieces = a.pieces[1:]
	return p, nil
}

// engines answers each version by its script and counts the runs.
type engines struct {
	scripts map[value.VersionKey]answer
	runs    map[value.VersionKey]int
}

func (e *engines) Start(_ context.Context, _ value.BackendServer, c engine.Call) (engine.Answer, error) {
	e.runs[c.Version]++
	a := e.scripts[c.Version]
	return &a, nil
}

type judge func(ctx context.Context, a flow.Held) (bool, error)

func (j judge) Judge(ctx context.Context, _ value.Request, a flow.Held) (bool, error) {
	return j(ctx, a)
}

// caller is a sink that notes what a caller sees.
type caller struct {
	begun   int
	version value.VersionKey
	text    string
	ended   bool
}

func (c *caller) Begin(_ engine.Head, v value.VersionKey) error {
	c.begun++
	c.version = v
	return nil
}

func (c *caller) Write(p engine.Piece) error {
	c.text += string(p.Data)
	return nil
}

func (c *caller) End(engine.Usage) error {
	c.ended = true
	return nil
}

func cascadeState() state.State {
	d := value.Document{
		ClientAccounts: []value.ClientAccount{{Name: "ward-12", Versions: []value.VersionKey{small, large}, Kinds: []value.KindName{"draft"}}},
		Models: []value.Model{{Name: "drafting-llm", Versions: []value.Version{
			{Name: "small", InputMicros: 100, OutputMicros: 300, Quality: 0.8},
			{Name: "large", InputMicros: 1000, OutputMicros: 3000, Quality: 0.97, QualityWeight: 1000},
		}}},
		Kinds: []value.Kind{{
			Name: "draft", Model: "drafting-llm", QualityTarget: 0.9, Idempotent: true, MaxTokens: 1000, MaxAttempts: 3,
			Judge: value.Judge{CostMicros: 50, Latency: time.Second, AcceptGood: 0.95, AcceptBad: 0.05},
		}},
		RollOuts: []value.RollOut{{Name: "large", Model: "drafting-llm", From: "old", To: "large", CostAbove: 1, MaxCostlyRate: 0.5, Stages: []value.Stage{{Percent: 100}}}},
	}
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: d, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), time.Time{})
	s = s.WithProgress(value.Progress{Name: "large", Version: large, Phase: value.PhaseDone, Epoch: 1})
	return s.
		WithServer(value.BackendServer{ID: "s1", State: value.ServerLive, Versions: []value.VersionKey{small}}).
		WithServer(value.BackendServer{ID: "l1", State: value.ServerLive, Versions: []value.VersionKey{large}})
}

type outcome struct {
	caller  caller
	engines *engines
	result  flow.Result
	flow    *flow.Flow
	err     error
}

func serve(t *testing.T, first answer, j flow.Judge) outcome {
	t.Helper()
	e := &engines{runs: make(map[value.VersionKey]int), scripts: map[value.VersionKey]answer{
		small: first, large: {pieces: []string{"dear ", "answer"}, err: io.EOF},
	}}
	s := cascadeState()
	f, err := flow.New(flow.Config{
		Snapshot: func() state.State { return s }, Runner: e, Biller: &bills{}, Guard: &guard{},
		Judge: j, Record: func(value.Decision) {}, Now: time.Now,
	})
	assert.NilError(t, err)
	o := outcome{engines: e, flow: f}
	r := value.Request{ID: "r1", Account: "ward-12", Kind: "draft", InputTokens: 1000, MaxTokens: 1000, Deadline: time.Now().Add(time.Minute)}
	o.result, o.err = f.Serve(context.Background(), flow.Job{Request: r}, &o.caller)
	return o
}

func says(ok bool, err error) judge {
	return func(context.Context, flow.Held) (bool, error) { return ok, err }
}

var cheap = answer{pieces: []string{"cheap ", "answer"}, err: io.EOF}

func TestAcceptedAnswerStopsTheCascade(t *testing.T) {
	o := serve(t, cheap, judge(func(_ context.Context, a flow.Held) (bool, error) {
		return len(a.Pieces) == 2 && a.Version == small, nil
	}))
	assert.NilError(t, o.err)
	assert.Equal(t, o.caller, caller{begun: 1, version: small, text: "cheap answer", ended: true})
	assert.Equal(t, o.engines.runs[large], 0)
	assert.Equal(t, o.result.Bill.CostMicros, int64(450))
}

func TestCallerSeesOneAnswerAfterEscalation(t *testing.T) {
	cases := map[string]struct {
		first answer
		judge judge
		cost  int64
	}{
		"rejected":     {first: cheap, judge: says(false, nil), cost: 4450},
		"judge failed": {first: cheap, judge: says(true, errors.New("away")), cost: 4450},
		"judge hangs": {first: cheap, cost: 4450, judge: func(ctx context.Context, _ flow.Held) (bool, error) {
			<-ctx.Done()
			return true, ctx.Err()
		}},
		"cut off": {first: answer{pieces: []string{"half"}, err: engine.ErrCutOff}, judge: says(true, nil), cost: 4000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := serve(t, c.first, c.judge)
				assert.NilError(t, o.err)
				assert.Equal(t, o.caller, caller{begun: 1, version: large, text: "dear answer", ended: true})
				assert.Equal(t, o.result.Bill.CostMicros, c.cost)
				assert.Equal(t, o.result.Bill.Runs, 2)
			})
		})
	}
}

func TestNoJudgeNoCascade(t *testing.T) {
	o := serve(t, cheap, nil)
	assert.NilError(t, o.err)
	assert.Equal(t, o.caller.version, large)
	assert.Equal(t, o.engines.runs[small], 0)
}

func TestRunsOfANewVersionAreCountedOnce(t *testing.T) {
	o := serve(t, cheap, says(false, nil))
	assert.DeepEqual(t, o.flow.Drain(), []value.AttemptCounts{{Version: large, Total: 1, Costly: 1}})
	assert.Equal(t, len(o.flow.Drain()), 0)
}
