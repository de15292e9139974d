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

// versionAnswer is the scripted answer of one version.
type versionAnswer struct {
	pieces []string
	err    error
}

func (a *versionAnswer) Head() engine.Head { return engine.Head{Status: 200} }
func (a *versionAnswer) Usage() engine.Usage {
	return engine.Usage{InputTokens: 1000, OutputTokens: 1000}
}
func (a *versionAnswer) Cancel() {}

func (a *versionAnswer) Next(context.Context) (engine.Piece, error) {
	if len(a.pieces) == 0 {
		return engine.Piece{}, a.err
	}
	p := engine.Piece{Data: []byte(a.pieces[0])}
	a.pieces = a.pieces[1:]
	return p, nil
}

// scriptedEngines gives each version's scripted answer and counts the attempts.
type scriptedEngines struct {
	scripts  map[value.VersionKey]versionAnswer
	attempts map[value.VersionKey]int
}

func (e *scriptedEngines) Start(_ context.Context, _ value.BackendServer, c engine.Call) (engine.Answer, error) {
	e.attempts[c.Version]++
	a := e.scripts[c.Version]
	return &a, nil
}

type judgeFunc func(ctx context.Context, a flow.HeldAnswer) (bool, error)

func (j judgeFunc) Judge(ctx context.Context, _ value.Request, a flow.HeldAnswer) (bool, error) {
	return j(ctx, a)
}

// versionRecorder is a response writer that records the version and the text that a caller
// receives.
type versionRecorder struct {
	heads   int
	version value.VersionKey
	text    string
	ended   bool
}

func (r *versionRecorder) WriteHead(_ engine.Head, v value.VersionKey) error {
	r.heads++
	r.version = v
	return nil
}

func (r *versionRecorder) Write(p engine.Piece) error {
	r.text += string(p.Data)
	return nil
}

func (r *versionRecorder) End(engine.Usage) error {
	r.ended = true
	return nil
}

func cascadeState() state.State {
	document := value.Document{
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
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: document, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), time.Time{})
	s = s.WithProgress(value.Progress{Name: "large", Version: large, Phase: value.PhaseDone, Epoch: 1})
	return s.
		WithServer(value.BackendServer{ID: "s1", State: value.ServerLive, Versions: []value.VersionKey{small}}).
		WithServer(value.BackendServer{ID: "l1", State: value.ServerLive, Versions: []value.VersionKey{large}})
}

type outcome struct {
	caller  versionRecorder
	engines *scriptedEngines
	result  flow.Result
	flow    *flow.Flow
	err     error
}

func serveCascade(t *testing.T, first versionAnswer, j flow.Judge) outcome {
	t.Helper()
	engines := &scriptedEngines{attempts: make(map[value.VersionKey]int), scripts: map[value.VersionKey]versionAnswer{
		small: first, large: {pieces: []string{"dear ", "answer"}, err: io.EOF},
	}}
	s := cascadeState()
	f, err := flow.New(flow.Config{
		Snapshot: func() state.State { return s }, Runner: engines, Biller: &memoryBiller{}, Guard: &memoryGuard{},
		Judge: j, Record: func(value.Decision) {}, Now: time.Now,
	})
	assert.NilError(t, err)
	o := outcome{engines: engines, flow: f}
	r := value.Request{ID: "r1", Account: "ward-12", Kind: "draft", InputTokens: 1000, MaxTokens: 1000, Deadline: time.Now().Add(time.Minute)}
	o.result, o.err = f.Serve(context.Background(), flow.Job{Request: r}, &o.caller)
	return o
}

func returnVerdict(ok bool, err error) judgeFunc {
	return func(context.Context, flow.HeldAnswer) (bool, error) { return ok, err }
}

var cheapAnswer = versionAnswer{pieces: []string{"cheap ", "answer"}, err: io.EOF}

func TestAcceptedAnswerEndsTheCascade(t *testing.T) {
	o := serveCascade(t, cheapAnswer, judgeFunc(func(_ context.Context, a flow.HeldAnswer) (bool, error) {
		return len(a.Pieces) == 2 && a.Version == small, nil
	}))
	assert.NilError(t, o.err)
	assert.Equal(t, o.caller, versionRecorder{heads: 1, version: small, text: "cheap answer", ended: true})
	assert.Equal(t, o.engines.attempts[large], 0)
	assert.Equal(t, o.result.Bill.CostMicros, int64(450))
}

func TestCallerGetsOnlyTheSecondAnswerAfterEscalation(t *testing.T) {
	cases := map[string]struct {
		first versionAnswer
		judge judgeFunc
		cost  int64
	}{
		"judge rejects the answer": {first: cheapAnswer, judge: returnVerdict(false, nil), cost: 4450},
		"judge fails":              {first: cheapAnswer, judge: returnVerdict(true, errors.New("judge unreachable")), cost: 4450},
		"judge hangs": {first: cheapAnswer, cost: 4450, judge: func(ctx context.Context, _ flow.HeldAnswer) (bool, error) {
			<-ctx.Done()
			return true, ctx.Err()
		}},
		"first answer is cut off": {first: versionAnswer{pieces: []string{"half"}, err: engine.ErrTruncated}, judge: returnVerdict(true, nil), cost: 4000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := serveCascade(t, c.first, c.judge)
				assert.NilError(t, o.err)
				assert.Equal(t, o.caller, versionRecorder{heads: 1, version: large, text: "dear answer", ended: true})
				assert.Equal(t, o.result.Bill.CostMicros, c.cost)
				assert.Equal(t, o.result.Bill.Runs, 2)
			})
		})
	}
}

func TestWithoutAJudgeNoCascadeIsTried(t *testing.T) {
	o := serveCascade(t, cheapAnswer, nil)
	assert.NilError(t, o.err)
	assert.Equal(t, o.caller.version, large)
	assert.Equal(t, o.engines.attempts[small], 0)
}

func TestAttemptsOfARolledOutVersionAreCountedOnce(t *testing.T) {
	o := serveCascade(t, cheapAnswer, returnVerdict(false, nil))
	assert.DeepEqual(t, o.flow.TakeAttemptCounts(), []value.AttemptCounts{{Version: large, Total: 1, Costly: 1}})
	assert.Equal(t, len(o.flow.TakeAttemptCounts()), 0)
}
