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

// defaultVersion is the version that the servers added by withServers have loaded.
const defaultVersion = value.VersionKey("drafting-llm/small")

// script is the behaviour of a scripted server in one attempt.
type script struct {
	startErr      error
	headDelay     time.Duration
	pieces        []string
	pieceInterval time.Duration
	endErr        error
}

func (s script) isSet() bool {
	return s.startErr != nil || s.headDelay > 0 || len(s.pieces) > 0 || s.endErr != nil
}

// harness is a flow over scripted servers. Each attempt at a server follows its next script; the
// last one is repeated.
type harness struct {
	mu      sync.Mutex
	control state.State
	scripts map[value.ServerID][]script
	// laterAttempts, if set, is the script of every attempt but the first.
	laterAttempts script
	attempts      map[value.ServerID]int
	running       int
	cancelled     int
	bills         []value.Bill
	billErr       error
	settled       []string
	decisions     []value.Decision
	flow          *flow.Flow
}

// newHarness returns a harness with a live server for each key of the scripts.
func newHarness(t *testing.T, document value.Document, scripts map[value.ServerID][]script) *harness {
	t.Helper()
	h := &harness{scripts: scripts, attempts: make(map[value.ServerID]int)}
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: document, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), time.Now())
	h.control = s
	for id := range scripts {
		h.control = withServers(h.control, id)
	}
	f, err := flow.New(flow.Config{
		Snapshot: h.snapshot, Runner: h, Biller: h, Guard: h, Now: time.Now, Seed: 7,
		Record: func(d value.Decision) { h.withLock(func() { h.decisions = append(h.decisions, d) }) },
	})
	assert.NilError(t, err)
	h.flow = f
	return h
}

func withServers(s state.State, ids ...value.ServerID) state.State {
	for _, id := range ids {
		s = s.WithServer(value.BackendServer{ID: id, Pool: "engines", State: value.ServerLive, Versions: []value.VersionKey{defaultVersion}})
	}
	return s
}

// newDocument returns a configuration with two client accounts that may use every kind, and one
// slot per server.
func newDocument(kinds ...value.Kind) value.Document {
	names := make([]value.KindName, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, k.Name)
	}
	accounts := []value.ClientAccount{
		{Name: "ward-12", Share: 1, Versions: []value.VersionKey{defaultVersion}, Kinds: names},
		{Name: "ward-9", Share: 1, Versions: []value.VersionKey{defaultVersion}, Kinds: names},
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

func newJob(id string, k value.Kind) flow.Job {
	return flow.Job{
		Request: value.Request{
			ID: value.RequestID(id), Account: "ward-12", Kind: k.Name, Key: "k", RequestHash: 1, Stream: true,
			Deadline: time.Now().Add(time.Minute),
		},
		Call: engine.Call{Stream: true},
	}
}

func (h *harness) withLock(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

func (h *harness) snapshot() state.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.control
}

func (h *harness) Start(ctx context.Context, server value.BackendServer, _ engine.Call) (engine.Answer, error) {
	var current script
	h.withLock(func() {
		n := min(h.attempts[server.ID], len(h.scripts[server.ID])-1)
		current = h.scripts[server.ID][n]
		if len(h.attempts) > 0 && h.laterAttempts.isSet() {
			current = h.laterAttempts
		}
		h.attempts[server.ID]++
		h.running++
	})
	if err := pause(ctx, current.headDelay); err != nil || current.startErr != nil {
		h.withLock(func() { h.running-- })
		if err == nil {
			err = current.startErr
		}
		return nil, err
	}
	return &scriptedAnswer{harness: h, script: current}, nil
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type scriptedAnswer struct {
	harness *harness
	script  script
	once    sync.Once
	sent    int
}

func (*scriptedAnswer) Head() engine.Head   { return engine.Head{Status: 200} }
func (*scriptedAnswer) Usage() engine.Usage { return engine.Usage{OutputTokens: 10} }

func (a *scriptedAnswer) Cancel() {
	a.once.Do(func() {
		a.harness.withLock(func() {
			a.harness.running--
			if a.sent < len(a.script.pieces) {
				a.harness.cancelled++
			}
		})
	})
}

func (a *scriptedAnswer) Next(ctx context.Context) (engine.Piece, error) {
	if err := pause(ctx, a.script.pieceInterval); err != nil {
		return engine.Piece{}, err
	}
	if a.sent < len(a.script.pieces) {
		a.sent++
		return engine.Piece{Data: []byte(a.script.pieces[a.sent-1])}, nil
	}
	if a.script.endErr != nil {
		return engine.Piece{}, a.script.endErr
	}
	return engine.Piece{}, io.EOF
}

func (h *harness) StoreBill(_ context.Context, b value.Bill) error {
	h.withLock(func() {
		if h.billErr == nil {
			h.bills = append(h.bills, b)
		}
	})
	return h.billErr
}

func (h *harness) Claim(context.Context, value.Request) (flow.Claim, *flow.StoredAnswer, error) {
	return h, nil, nil
}

func (h *harness) recordSettlement(result string) error {
	h.withLock(func() { h.settled = append(h.settled, result) })
	return nil
}

func (h *harness) Finish(_ context.Context, s flow.StoredAnswer) error {
	return h.recordSettlement("Finish " + string(s.Body))
}
func (h *harness) Release(context.Context) error     { return h.recordSettlement("Release") }
func (h *harness) MarkInDoubt(context.Context) error { return h.recordSettlement("Doubt") }

// inFlight returns how many slots the flow counts as taken at all servers.
func (h *harness) inFlight() int {
	n := 0
	for id := range h.scripts {
		n += h.flow.ServerLoads().Load(id).InFlight
	}
	return n
}

// recordingWriter is a response writer that records the text that a caller receives; it may fail or
// panic at a piece.
type recordingWriter struct {
	text     string
	ended    bool
	writeErr error
	panics   bool
}

func (w *recordingWriter) WriteHead(engine.Head, value.VersionKey) error { return nil }

func (w *recordingWriter) Write(p engine.Piece) error {
	if w.panics {
		panic("sink")
	}
	w.text += string(p.Data)
	return w.writeErr
}

func (w *recordingWriter) End(engine.Usage) error {
	w.ended = true
	return nil
}
