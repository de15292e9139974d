package plat

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

// Swap replaces the entry; a lost answer is settled by reading back and, where the old revision
// still stands, by swapping again from it, so that at most one of both takes effect.
//
// An error that wraps both ErrUnknown and Conflict says that the change may have taken effect
// before another writer replaced it.
func (b *Budget) Swap(ctx context.Context, s Swap) (int64, error) {
	defer b.joins.forget(getFlight(s.Key))
	revision, err := change(ctx, b, func(ctx context.Context) (int64, error) { return b.config.Store.Swap(ctx, s) })
	for try := 1; errors.Is(err, ErrUnknown) && try < b.config.Tries; try++ {
		if b.pause(ctx, try) != nil {
			break
		}
		if revision, settled := b.readBack(ctx, s); settled {
			return revision, nil
		}
		again, retryErr := change(ctx, b, func(ctx context.Context) (int64, error) { return b.config.Store.Swap(ctx, s) })
		if retryErr == nil {
			return again, nil
		}
		var conflict Conflict
		if errors.As(retryErr, &conflict) {
			return settle(s, conflict)
		}
	}
	return revision, err
}

// readBack reports whether the entry as it stands holds the change; a stale answer shows an older one.
func (b *Budget) readBack(ctx context.Context, s Swap) (int64, bool) {
	b.joins.forget(getFlight(s.Key))
	e, err := b.Get(ctx, s.Key)
	if err != nil || e.Revision <= s.Expect || !bytes.Equal(e.Value, s.Value) {
		return 0, false
	}
	return e.Revision, true
}

// settle judges a change, whose first answer was lost, by the entry that its repetition met.
func settle(s Swap, c Conflict) (int64, error) {
	if c.Present.Revision > s.Expect && bytes.Equal(c.Present.Value, s.Value) {
		return c.Present.Revision, nil
	}
	return 0, fmt.Errorf("swap %s: %w: %w", s.Key, ErrUnknown, c)
}

// Delete removes the entry; a lost answer is settled by deleting again from the same revision.
func (b *Budget) Delete(ctx context.Context, key string, expect int64) error {
	defer b.joins.forget(getFlight(key))
	remove := func(ctx context.Context) (struct{}, error) {
		return struct{}{}, b.config.Store.Delete(ctx, key, expect)
	}
	_, err := change(ctx, b, remove)
	for try := 1; errors.Is(err, ErrUnknown) && try < b.config.Tries; try++ {
		if b.pause(ctx, try) != nil {
			break
		}
		_, retryErr := change(ctx, b, remove)
		if retryErr == nil {
			return nil
		}
		var conflict Conflict
		if !errors.As(retryErr, &conflict) {
			continue
		}
		if conflict.Present.Revision == 0 {
			return nil
		}
		return fmt.Errorf("delete %s: %w: %w", key, ErrUnknown, conflict)
	}
	return err
}

// Grant returns a new lease; one whose answer was lost lapses unused.
func (b *Budget) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return change(ctx, b, func(ctx context.Context) (LeaseID, error) { return b.config.Store.Grant(ctx, ttl) })
}

// KeepAlive renews the lease once; the holder repeats it in its own rhythm.
func (b *Budget) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	return change(ctx, b, func(ctx context.Context) (time.Duration, error) { return b.config.Store.KeepAlive(ctx, id) })
}

// Revoke ends the lease and deletes its entries; one whose answer was lost is repeated.
func (b *Budget) Revoke(ctx context.Context, id LeaseID) error {
	revoke := func(ctx context.Context) (struct{}, error) { return struct{}{}, b.config.Store.Revoke(ctx, id) }
	_, err := change(ctx, b, revoke)
	for try := 1; errors.Is(err, ErrUnknown) && try < b.config.Tries; try++ {
		if b.pause(ctx, try) != nil {
			break
		}
		_, retryErr := change(ctx, b, revoke)
		if retryErr == nil || errors.Is(retryErr, ErrLeaseLost) {
			return nil
		}
	}
	return err
}

// change makes one try of a write inside the budget.
func change[T any](ctx context.Context, b *Budget, do func(context.Context) (T, error)) (T, error) {
	if err := b.admit(ctx, b.writes); err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.Timeout)
	defer cancel()
	b.count(func(u Usage) Usage { u.Writes++; return u })
	return do(ctx)
}
