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

// keeper is a guard of one key.
type keeper struct{ stored *flow.Stored }

func (k *keeper) Claim(context.Context, value.Request) (flow.Claim, *flow.Stored, error) {
	if k.stored != nil {
		return nil, k.stored, nil
	}
	return k, nil, nil
}

func (k *keeper) Finish(_ context.Context, s flow.Stored) error {
	k.stored = &s
	return nil
}

func (k *keeper) Release(context.Context) error { return nil }
func (k *keeper) Doubt(context.Context) error   { return nil }

// pieces keeps an answer's pieces apart.
type pieces struct{ all []string }

func (p *pieces) Begin(engine.Head, value.VersionKey) error { return nil }
func (p *pieces) End(engine.Usage) error                    { return nil }

func (p *pieces) Write(piece engine.Piece) error {
	p.all = append(p.all, string(piece.Data))
	return nil
}

func TestKeptStreamComesBackPieceByPiece(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(reorder), map[value.ServerID][]act{"s1": {{pieces: []string{`{"a":1}`, `{"b":2}`}}}})
		f, err := flow.New(flow.Config{
			Snapshot: func() state.State { return g.snapshot() },
			Runner:   g, Biller: g, Guard: &keeper{}, Now: time.Now, Record: func(value.Decision) {},
		})
		assert.NilError(t, err)
		first, again := &pieces{}, &pieces{}
		_, err = f.Serve(t.Context(), job("r1", reorder), first)
		assert.NilError(t, err)
		_, err = f.Serve(t.Context(), job("r2", reorder), again)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.all, first.all)
		assert.Equal(t, g.runs["s1"], 1)
	})
}
