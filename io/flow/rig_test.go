package flow_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

const oneVersion = value.VersionKey("drafting-llm/small")

// act is what a scripted server does with one run.
type act struct {
	refuse error
	head   time.Duration
	pieces []string
	every  time.Duration
	end    error
}

func (a act) set() bool {
	return a.refuse != nil || a.head > 0 || len(a.pieces) > 0 || a.end != nil
}

// rig is a flow over scripted servers; the last act of a server is repeated.
type rig struct {
	mu      sync.Mutex
	control state.State
	acts    map[value.ServerID][]act
	// others, if set, is what every run but the first does.
	others   act
	runs     map[value.ServerID]int
	running  int
	cut      int
	bills    []value.Bill
	billing  error
	settled  []string
	deciding []value.Decision
	flow     *flow.Flow
}

func newRig(t *testing.T, d value.Document, acts map[value.ServerID][]act) *rig {
	t.Helper()
	g := &rig{acts: acts, runs: make(map[value.ServerID]int)}
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: d, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), time.Now())
	g.control = s
	for id := range acts {
		g.control = withServers(g.control, id)
	}
	f, err := flow.New(flow.Config{
		Snapshot: g.snapshot, Runner: g, Biller: g, Guard: g, Now: time.Now, Seed: 7,
		Record: func(d value.Decision) { g.locked(func() { g.deciding = append(g.deciding, d) }) },
	})
	assert.NilError(t, err)
	g.flow = f
	return g
}

func withServers(s state.State, ids ...value.ServerID) state.State {
	for _, id := range ids {
		s = s.WithServer(value.BackendServer{ID: id, Pool: "engines", State: value.ServerLive, Versions: []value.VersionKey{oneVersion}})
	}
	return s
}

func ward(kinds ...value.Kind) value.Document {
	names := make([]value.KindName, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, k.Name)
	}
	accounts := []value.ClientAccount{
		{Name: "ward-12", Share: 1, Versions: []value.VersionKey{oneVersion}, Kinds: names},
		{Name: "ward-9", Share: 1, Versions: []value.VersionKey{oneVersion}, Kinds: names},
	}
	return value.Document{
		ClientAccounts: accounts, Kinds: kinds,
		Models: []value.Model{{Name: "drafting-llm", Versions: []value.Version{{Name: "small", OutputMicros: 1000, Quality: 0.9}}}},
		Pools:  []value.Pool{{Name: "engines", MaxInFlight: 1}},
		Limits: value.Limits{QueueLength: 100, RetryPercent: 10, HedgePercent: 5},
	}
}

var (
	spelling = value.Kind{Name: "spelling", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3}
	menu     = value.Kind{Name: "menu", Model: "drafting-llm", Priority: value.PriorityDraft, Idempotent: true, MaxAttempts: 3}
	reorder  = value.Kind{Name: "reorder", Model: "drafting-llm", Priority: value.PriorityInteractive, MaxAttempts: 3}
	shared   = value.Kind{Name: "shared", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3, Share: true}
)

func job(id string, k value.Kind) flow.Job {
	return flow.Job{
		Request: value.Request{
			ID: value.RequestID(id), Account: "ward-12", Kind: k.Name, Key: "k", Question: 1, Stream: true,
			Deadline: time.Now().Add(time.Minute),
		},
		Call: engine.Call{Stream: true},
	}
}

func (g *rig) locked(do func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do()
}

func (g *rig) snapshot() state.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control
}

func (g *rig) Start(ctx context.Context, b value.BackendServer, _ engine.Call) (engine.Answer, error) {
	var a act
	g.locked(func() {
		n := min(g.runs[b.ID], len(g.acts[b.ID])-1)
		a = g.acts[b.ID][n]
		if len(g.runs) > 0 && g.others.set() {
			a = g.others
		}
		g.runs[b.ID]++
		g.running++
	})
	if err := pause(ctx, a.head); err != nil || a.refuse != nil {
		g.locked(func() { g.running-- })
		if err == nil {
			err = a.refuse
		}
		return nil, err
	}
	return &reply{rig: g, act: a}, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type reply struct {
	rig  *rig
	act  act
	once sync.Once
	sent int
}

func (*reply) Head() engine.Head   { return engine.Head{Status: 200} }
func (*reply) Usage() engine.Usage { return engine.Usage{OutputTokens: 10} }

func (a *reply) Cancel() {
	a.once.Do(func() {
		a.rig.locked(func() {
			a.rig.running--
			if a.sent < len(a.act.pieces) {
				a.rig.cut++
			}
		})
	})
}

func (a *reply) Next(ctx context.Context) (engine.Piece, error) {
	if err := pause(ctx, a.act.every); err != nil {
		return engine.Piece{}, err
	}
	if a.sent < len(a.act.pieces) {
		a.sent++
		return engine.Piece{Data: []byte(a.act.pieces[a.sent-1])}, nil
	}
	if a.act.end != nil {
		return engine.Piece{}, a.act.end
	}
	return engine.Piece{}, io.EOF
}

func (g *rig) Keep(_ context.Context, b value.Bill) error {
	g.locked(func() {
		if g.billing == nil {
			g.bills = append(g.bills, b)
		}
	})
	return g.billing
}

func (g *rig) Claim(context.Context, value.Request) (flow.Claim, *flow.Stored, error) {
	return g, nil, nil
}

func (g *rig) settle(how string) error {
	g.locked(func() { g.settled = append(g.settled, how) })
	return nil
}

func (g *rig) Finish(_ context.Context, s flow.Stored) error {
	return g.settle("Finish " + string(s.Body))
}
func (g *rig) Release(context.Context) error { return g.settle("Release") }
func (g *rig) Doubt(context.Context) error   { return g.settle("Doubt") }

// inFlight sums the places that the flow counts as taken.
func (g *rig) inFlight() int {
	n := 0
	for id := range g.acts {
		n += g.flow.Board().Load(id).InFlight
	}
	return n
}

// seen is a sink that notes what a caller sees; it may fail or panic at the first piece.
type seen struct {
	text  string
	ended bool
	fail  error
	panic bool
}

func (s *seen) Begin(engine.Head, value.VersionKey) error { return nil }

func (s *seen) Write(p engine.Piece) error {
	if s.panic {
		panic("sink")
	}
	s.text += string(p.Data)
	return s.fail
}

func (s *seen) End(engine.Usage) error {
	s.ended = true
	return nil
}
