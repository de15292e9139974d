package flow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// singleKeyGuard is a guard for requests that all have the same key.
type singleKeyGuard struct{ stored *flow.StoredAnswer }

func (g *singleKeyGuard) Claim(context.Context, value.Request) (flow.Claim, *flow.StoredAnswer, error) {
	if g.stored != nil {
		return nil, g.stored, nil
	}
	return g, nil, nil
}

func (g *singleKeyGuard) Finish(_ context.Context, s flow.StoredAnswer) error {
	g.stored = &s
	return nil
}

func (g *singleKeyGuard) Release(context.Context) error     { return nil }
func (g *singleKeyGuard) MarkInDoubt(context.Context) error { return nil }

// pieceRecorder is a response writer that records each piece of an answer separately.
type pieceRecorder struct{ data []string }

func (p *pieceRecorder) WriteHead(engine.Head, value.VersionKey) error { return nil }
func (p *pieceRecorder) End(engine.Usage) error                        { return nil }

func (p *pieceRecorder) Write(piece engine.Piece) error {
	p.data = append(p.data, string(piece.Data))
	return nil
}

func TestStoredStreamIsReplayedPieceByPiece(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newDocument(reorder), map[value.ServerID][]script{"s1": {{pieces: []string{`{"a":1}`, `{"b":2}`}}}})
		f, err := flow.New(flow.Config{
			Snapshot: func() state.State { return h.snapshot() },
			Runner:   h, Biller: h, Guard: &singleKeyGuard{}, Now: time.Now, Record: func(value.Decision) {},
		})
		assert.NilError(t, err)
		first, again := &pieceRecorder{}, &pieceRecorder{}
		_, err = f.Serve(t.Context(), newJob("r1", reorder), first)
		assert.NilError(t, err)
		_, err = f.Serve(t.Context(), newJob("r2", reorder), again)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.data, first.data)
		assert.Equal(t, h.attempts["s1"], 1)
	})
}
