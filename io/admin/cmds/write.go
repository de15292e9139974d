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

// writeTries bounds how often one change is sent to the key-value service.
const writeTries = 6

// pauses are the waits between two of these times.
var pauses = policy.Backoff{First: 100 * time.Millisecond, Limit: 2 * time.Second}

// Config sets up the commands.
type Config struct {
	Store plat.Store
	Now   func() time.Time
}

// order is a change to be made to an environment's document.
type order struct {
	environment value.Environment
	change      value.Change
	data        []byte
}

// writer makes one change; it belongs to one goroutine.
type writer struct {
	store plat.Store
	order order
	// sent is set once the key-value service may have received the change.
	sent bool
	// present is what was last seen to stand.
	present value.CurrentRecord
}

// result ends the attempts at a change.
type result struct {
	applied value.AppliedChange
	err     error
}

// write makes the change, or says truly that it was not made or that its outcome is unknown.
//
// It is sent again only after reading back that it has not taken effect. An
// earlier sending that is still under way does no harm: both expect the same
// revision, so that at most one takes effect.
func write(ctx context.Context, store plat.Store, o order) (value.AppliedChange, error) {
	w := &writer{store: store, order: o}
	pause := pauses
	for range writeTries {
		if r := w.attempt(ctx); r != nil {
			return r.applied, r.err
		}
		if err := clock.Wait(ctx, pause.Delay(clock.Random{})); err != nil {
			break
		}
		pause = pause.WithFailure()
	}
	return value.AppliedChange{}, w.giveUp()
}

// giveUp says what is certain of a change after the last attempt.
func (w *writer) giveUp() error {
	switch {
	case w.sent:
		return value.ChangeUnknown{Change: w.order.change.ID, Detail: "the key-value service gave no answer"}
	case w.present.Revision > 0 && w.present.Revision < w.order.change.Expect:
		return value.ChangeConflict{Attempted: w.order.change, Current: w.present}
	}
	return value.ChangeUnavailable{Detail: "the key-value service was not reached"}
}

// attempt reads what stands and sends the change if it is still open; it returns nil if another attempt may help.
func (w *writer) attempt(ctx context.Context) *result {
	record, err := conf.Load(ctx, w.store, w.order.environment)
	if err != nil {
		return fatal(err)
	}
	w.present = record.Standing
	if query.OutcomeOf(record.Standing, w.order.change) != query.OutcomeOpen {
		return w.settle(record.Standing)
	}
	data, err := record.WithChange(w.order.data, w.order.change).Encode()
	if err != nil {
		return &result{err: err}
	}
	return w.send(ctx, data)
}

func (w *writer) settle(present value.CurrentRecord) *result {
	mine := w.order.change
	switch query.OutcomeOf(present, mine) {
	case query.OutcomeApplied:
		if mine.Digest != "" && mine.Digest != present.Change.Digest {
			return &result{err: value.ChangeRefused{Reason: value.ReasonKeyReused, Detail: "change " + string(mine.ID) + " was about another document"}}
		}
		return &result{applied: value.AppliedChange{Change: present.Change, Revision: present.Revision}}
	case query.OutcomeOvertaken:
		return &result{applied: value.AppliedChange{Change: mine, Revision: present.Revision, Superseded: true}}
	case query.OutcomeConflict:
		return &result{err: value.ChangeConflict{Attempted: mine, Current: present}}
	case query.OutcomeForgotten:
		return w.forgotten(present)
	}
	return nil
}

// forgotten can't tell a late repetition from a change that was never sent.
func (w *writer) forgotten(present value.CurrentRecord) *result {
	detail := fmt.Sprintf("revision %d stands, and the trail of changes no longer reaches back to %d", present.Revision, w.order.change.Expect)
	return &result{err: value.ChangeUnknown{Change: w.order.change.ID, Detail: detail}}
}

func (w *writer) send(ctx context.Context, data []byte) *result {
	swap := plat.Swap{Key: conf.DocumentKey(w.order.environment), Expect: w.order.change.Expect, Value: data}
	revision, err := w.store.Swap(ctx, swap)
	if err == nil {
		return &result{applied: value.AppliedChange{Change: w.order.change, Revision: revision}}
	}
	var conflict plat.Conflict
	switch {
	case errors.As(err, &conflict):
		return w.lost(conflict)
	case errors.Is(err, plat.ErrUnavailable):
		return nil
	case errors.Is(err, plat.ErrUnknown), ctx.Err() != nil:
		w.sent = true
		return nil
	}
	return &result{err: fmt.Errorf("write document of %s: %w", w.order.environment, err)}
}

// lost settles a change by the entry that the key-value service named in its place.
func (w *writer) lost(c plat.Conflict) *result {
	record, err := conf.DecodeRecord(c.Present)
	if err != nil {
		return fatal(err)
	}
	if r := w.settle(record.Standing); r != nil {
		return r
	}
	return &result{err: value.ChangeConflict{Attempted: w.order.change, Current: record.Standing}}
}

// fatal ends the attempts where reading again can't help.
func fatal(err error) *result {
	var refused value.ChangeRefused
	if errors.As(err, &refused) {
		return &result{err: err}
	}
	return nil
}
