package cmds

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

// maxAttempts is how often a command reads its record and tries to change it.
const maxAttempts = 6

// retryBackoff is the wait between two attempts.
var retryBackoff = policy.Backoff{InitialDelay: 100 * time.Millisecond, MaxDelay: 2 * time.Second}

// Config configures the commands.
type Config struct {
	Store plat.Store
	Now   func() time.Time
}

// writeRequest is a change of an environment's document and the new document's bytes.
type writeRequest struct {
	environment value.Environment
	change      value.Change
	data        []byte
}

// writer makes one change. It is used by one goroutine only.
type writer struct {
	store   plat.Store
	request writeRequest
	// maybeSent is set once the change may have taken effect without an answer.
	maybeSent bool
	// current is the record in force as it was last read.
	current value.CurrentRecord
}

// result is the final result of a change, after which no further attempt is made.
type result struct {
	applied value.AppliedChange
	err     error
}

// write makes the change, or returns an error that says whether the change was certainly not made
// or its outcome is unknown.
//
// Each attempt first reads the record and sends the change only if it has not taken effect. A
// change that an earlier attempt sent may still be on its way. That is safe: both expect the same
// revision, so that at most one of them takes effect.
func write(ctx context.Context, store plat.Store, request writeRequest) (value.AppliedChange, error) {
	w := &writer{store: store, request: request}
	backoff := retryBackoff
	for range maxAttempts {
		if r := w.attempt(ctx); r != nil {
			return r.applied, r.err
		}
		if err := clock.Wait(ctx, backoff.Delay(clock.Random{})); err != nil {
			break
		}
		backoff = backoff.WithFailure()
	}
	return value.AppliedChange{}, w.finalError()
}

// finalError returns the error after the last attempt: ChangeUnknown if the change may have been
// made, and otherwise an error that says that it was not.
func (w *writer) finalError() error {
	switch {
	case w.maybeSent:
		return value.ChangeUnknown{Change: w.request.change.ID, Detail: "the key-value service gave no answer"}
	case w.current.Revision > 0 && w.current.Revision < w.request.change.Expect:
		return value.ChangeConflict{Attempted: w.request.change, Current: w.current}
	}
	return value.ChangeUnavailable{Detail: "the key-value service was not reached"}
}

// attempt reads the record in force and sends the change unless its outcome is already known. It
// returns nil if another attempt may help.
func (w *writer) attempt(ctx context.Context) *result {
	record, err := conf.LoadRecord(ctx, w.store, w.request.environment)
	if err != nil {
		return toRefusal(err)
	}
	w.current = record.Current
	if query.OutcomeOf(record.Current, w.request.change) != query.OutcomeOpen {
		return w.settle(record.Current)
	}
	data, err := record.WithChange(w.request.data, w.request.change).Encode()
	if err != nil {
		return &result{err: err}
	}
	return w.send(ctx, data)
}

// settle returns the change's final result, judged by the record in force. It returns nil if the
// change is still open, or if the record is older than the revision that the change expects.
func (w *writer) settle(current value.CurrentRecord) *result {
	change := w.request.change
	switch query.OutcomeOf(current, change) {
	case query.OutcomeApplied:
		if change.Digest != "" && change.Digest != current.Change.Digest {
			return &result{err: value.ChangeRefused{Reason: value.ReasonKeyReused, Detail: "change " + string(change.ID) + " was about another document"}}
		}
		return &result{applied: value.AppliedChange{Change: current.Change, Revision: current.Revision}}
	case query.OutcomeSuperseded:
		return &result{applied: value.AppliedChange{Change: change, Revision: current.Revision, Superseded: true}}
	case query.OutcomeConflict:
		return &result{err: value.ChangeConflict{Attempted: change, Current: current}}
	case query.OutcomeBeyondHistory:
		return w.unknownOutcome(current)
	}
	return nil
}

// unknownOutcome returns ChangeUnknown for a change whose expected revision is older than the
// stored history: it may be a late retry of a change that took effect, or one that was never sent.
func (w *writer) unknownOutcome(current value.CurrentRecord) *result {
	detail := fmt.Sprintf("revision %d stands, and the trail of changes no longer reaches back to %d", current.Revision, w.request.change.Expect)
	return &result{err: value.ChangeUnknown{Change: w.request.change.ID, Detail: detail}}
}

func (w *writer) send(ctx context.Context, data []byte) *result {
	swap := plat.Swap{Key: conf.DocumentKey(w.request.environment), Expect: w.request.change.Expect, Value: data}
	revision, err := w.store.Swap(ctx, swap)
	if err == nil {
		return &result{applied: value.AppliedChange{Change: w.request.change, Revision: revision}}
	}
	var conflict plat.Conflict
	switch {
	case errors.As(err, &conflict):
		return w.settleConflict(conflict)
	case errors.Is(err, plat.ErrUnavailable):
		return nil
	case errors.Is(err, plat.ErrUnknown), ctx.Err() != nil:
		w.maybeSent = true
		return nil
	}
	return &result{err: fmt.Errorf("write document of %s: %w", w.request.environment, err)}
}

// settleConflict returns the change's result, judged by the entry that the key-value service
// reported when it refused the compare-and-swap. An entry older than the expected revision is a
// conflict as well.
func (w *writer) settleConflict(conflict plat.Conflict) *result {
	record, err := conf.DecodeRecord(conflict.Current)
	if err != nil {
		return toRefusal(err)
	}
	if r := w.settle(record.Current); r != nil {
		return r
	}
	return &result{err: value.ChangeConflict{Attempted: w.request.change, Current: record.Current}}
}

// toRefusal returns a refusal as the final result. For any other error it returns nil, as reading
// again may help.
func toRefusal(err error) *result {
	var refused value.ChangeRefused
	if errors.As(err, &refused) {
		return &result{err: err}
	}
	return nil
}
