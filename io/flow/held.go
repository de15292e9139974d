package flow

import (
	"fmt"

	"endivehitch/core/policy"
	"endivehitch/io/engine"
)

// heldAnswers bounds the memory of the answers that are kept: held back for a judge, or shared by callers.
var heldAnswers = policy.BufferConfig{OwnBytes: 256 << 10, MaxBytes: 4 << 20, SharedBytes: 32 << 20}

// errTooLong ends an answer that is longer than what may be kept of it.
var errTooLong = fmt.Errorf("%w: too long to be kept", engine.ErrTruncated)

// pieceOverheadBytes is what a piece that is kept occupies besides its data.
const pieceOverheadBytes = 48

// keepPiece counts a piece that is kept; the error is errTooLong.
func keepPiece(a *policy.BufferAccount, p engine.Piece) error {
	if !a.Grow(len(p.Data) + pieceOverheadBytes) {
		return errTooLong
	}
	return nil
}
