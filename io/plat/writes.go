package plat

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

// Swap replaces the entry if its revision is the expected one. If the answer is lost, it reads the
// entry back. Unless that shows the new value, it sends the swap again with the same expected
// revision, so that at most one of the two takes effect.
//
// An error that wraps both ErrUnknown and Conflict means that the change may have taken effect
// before another writer replaced it.
func (l *LimitedStore) Swap(ctx context.Context, s Swap) (int64, error) {
	defer l.flights.forget(flightNameOfGet(s.Key))
	revision, err := writeOnce(ctx, l, func(ctx context.Context) (int64, error) { return l.config.Store.Swap(ctx, s) })
	for try := 1; errors.Is(err, ErrUnknown) && try < l.config.MaxAttempts; try++ {
		if l.waitBackoff(ctx, try) != nil {
			break
		}
		if revision, settled := l.readBack(ctx, s); settled {
			return revision, nil
		}
		retried, retryErr := writeOnce(ctx, l, func(ctx context.Context) (int64, error) { return l.config.Store.Swap(ctx, s) })
		if retryErr == nil {
			return retried, nil
		}
		var conflict Conflict
		if errors.As(retryErr, &conflict) {
			return resolveConflict(s, conflict)
		}
	}
	return revision, err
}

// readBack reports whether the entry holds the change, and returns its revision. A stale read may
// miss the change, so false does not mean that it took no effect.
func (l *LimitedStore) readBack(ctx context.Context, s Swap) (int64, bool) {
	l.flights.forget(flightNameOfGet(s.Key))
	e, err := l.Get(ctx, s.Key)
	if err != nil || e.Revision <= s.Expect || !bytes.Equal(e.Value, s.Value) {
		return 0, false
	}
	return e.Revision, true
}

// resolveConflict settles a change whose first answer was lost and whose retry met a conflict: the
// change took effect if the current entry has its value, and otherwise the outcome is unknown.
func resolveConflict(s Swap, c Conflict) (int64, error) {
	if c.Current.Revision > s.Expect && bytes.Equal(c.Current.Value, s.Value) {
		return c.Current.Revision, nil
	}
	return 0, fmt.Errorf("swap %s: %w: %w", s.Key, ErrUnknown, c)
}

// Delete removes the entry if its revision is the expected one. If the answer is lost, it deletes
// again with the same expected revision; an entry that is then missing counts as deleted.
func (l *LimitedStore) Delete(ctx context.Context, key string, expect int64) error {
	defer l.flights.forget(flightNameOfGet(key))
	remove := func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.config.Store.Delete(ctx, key, expect)
	}
	_, err := writeOnce(ctx, l, remove)
	for try := 1; errors.Is(err, ErrUnknown) && try < l.config.MaxAttempts; try++ {
		if l.waitBackoff(ctx, try) != nil {
			break
		}
		_, retryErr := writeOnce(ctx, l, remove)
		if retryErr == nil {
			return nil
		}
		var conflict Conflict
		if !errors.As(retryErr, &conflict) {
			continue
		}
		if conflict.Current.Revision == 0 {
			return nil
		}
		return fmt.Errorf("delete %s: %w: %w", key, ErrUnknown, conflict)
	}
	return err
}

// Grant returns a new lease; a lease whose answer was lost expires unused.
func (l *LimitedStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return writeOnce(ctx, l, func(ctx context.Context) (LeaseID, error) { return l.config.Store.Grant(ctx, ttl) })
}

// KeepAlive renews the lease once, without retries, since its holder renews it at regular
// intervals.
func (l *LimitedStore) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	return writeOnce(ctx, l, func(ctx context.Context) (time.Duration, error) { return l.config.Store.KeepAlive(ctx, id) })
}

// Revoke ends the lease and deletes its entries. If the answer is lost, it revokes again; a lease that
// is then missing counts as revoked.
func (l *LimitedStore) Revoke(ctx context.Context, id LeaseID) error {
	revoke := func(ctx context.Context) (struct{}, error) { return struct{}{}, l.config.Store.Revoke(ctx, id) }
	_, err := writeOnce(ctx, l, revoke)
	for try := 1; errors.Is(err, ErrUnknown) && try < l.config.MaxAttempts; try++ {
		if l.waitBackoff(ctx, try) != nil {
			break
		}
		_, retryErr := writeOnce(ctx, l, revoke)
		if retryErr == nil || errors.Is(retryErr, ErrLeaseLost) {
			return nil
		}
	}
	return err
}

// writeOnce makes one attempt of a write within the rate limit.
func writeOnce[T any](ctx context.Context, l *LimitedStore, do func(context.Context) (T, error)) (T, error) {
	if err := l.admit(ctx, l.writes); err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.updateUsage(func(u Usage) Usage { u.Writes++; return u })
	return do(ctx)
}
