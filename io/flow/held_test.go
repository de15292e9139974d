package flow_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

const (
	pieceBytes = 64 << 10
	// endlessPieces is how many pieces an answer has that would never end.
	endlessPieces = 1024
	// maxKeptPieces is how many of them may be kept in memory.
	maxKeptPieces = 64
)

var longPiece = strings.Repeat("a", pieceBytes)

func longScript(pieces int) []script {
	s := script{endErr: io.EOF}
	for range pieces {
		s.pieces = append(s.pieces, longPiece)
	}
	return []script{s}
}

// countingRunner counts the pieces that are read of all answers.
type countingRunner struct {
	engine.Runner
	read int
}

type countingAnswer struct {
	engine.Answer
	runner *countingRunner
}

func (r *countingRunner) Start(ctx context.Context, b value.BackendServer, c engine.Call) (engine.Answer, error) {
	answer, err := r.Runner.Start(ctx, b, c)
	if err != nil {
		return nil, err
	}
	return countingAnswer{Answer: answer, runner: r}, nil
}

func (a countingAnswer) Next(ctx context.Context) (engine.Piece, error) {
	p, err := a.Answer.Next(ctx)
	if err == nil {
		a.runner.read++
	}
	return p, err
}

// Guards against an answer without end that is kept in memory, because callers share it, until the process ends for it.
func TestSharedAnswerWithoutEndIsGivenUp(t *testing.T) {
	h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": longScript(endlessPieces)})
	runner := &countingRunner{Runner: h}
	h.flow.Runner = runner
	_, err := h.flow.Serve(t.Context(), newJob("r1", shared), &discardingWriter{})
	assert.Assert(t, err != nil)
	assert.Assert(t, runner.read <= maxKeptPieces+1, "%d pieces of %d bytes were kept", runner.read, pieceBytes)
	_, err = h.flow.Serve(t.Context(), newJob("r2", shared), &discardingWriter{})
	assert.Assert(t, err != nil)
	assert.Assert(t, runner.read > maxKeptPieces+1, "the memory of the first one must be free again")
}

// Guards against the same by pieces so small that their data hardly counts.
func TestSharedAnswerOfSmallPiecesWithoutEndIsGivenUp(t *testing.T) {
	small := script{endErr: io.EOF}
	for range 200_000 {
		small.pieces = append(small.pieces, "{}")
	}
	h := newHarness(t, newDocument(shared), map[value.ServerID][]script{"s1": {small}})
	_, err := h.flow.Serve(t.Context(), newJob("r1", shared), &discardingWriter{})
	assert.Assert(t, err != nil)
}

// Guards against a long answer that is kept whole in memory although only a short one is stored for later calls, and against
// its loss for the caller.
func TestLongAnswerOfAnUnrepeatableRequestReachesItsCallerWithoutBeingKept(t *testing.T) {
	h := newHarness(t, newDocument(reorder), map[value.ServerID][]script{"s1": longScript(endlessPieces)})
	writer := &discardingWriter{}
	_, err := h.flow.Serve(t.Context(), newJob("r1", reorder), writer)
	assert.NilError(t, err)
	assert.Equal(t, writer.bytes, endlessPieces*pieceBytes)
	assert.DeepEqual(t, h.settled, []string{"Finish "})
}

// discardingWriter counts what it gets.
type discardingWriter struct{ bytes int }

func (*discardingWriter) WriteHead(engine.Head, value.VersionKey) error { return nil }
func (*discardingWriter) End(engine.Usage) error                        { return nil }

func (w *discardingWriter) Write(p engine.Piece) error {
	w.bytes += len(p.Data)
	return nil
}

// Guards against an answer without end that is kept in memory, because a judge is to see it, until the process ends for it.
func TestAnswerWithoutEndBeforeItsJudgeGivesWayToTheNextVersion(t *testing.T) {
	accepts := func(context.Context, flow.HeldAnswer) (bool, error) { return true, nil }
	first := versionAnswer{err: io.EOF}
	for range endlessPieces {
		first.pieces = append(first.pieces, longPiece)
	}
	o := serveCascade(t, first, judgeFunc(accepts))
	assert.NilError(t, o.err)
	assert.Equal(t, o.caller.text, "dear answer")
	assert.Equal(t, o.result.Version, large)
}
