package plat

import (
	"context"
	"errors"
	"fmt"
)

// Get returns the entry, with revision zero if there is none.
func (b *LimitedStore) Get(ctx context.Context, key string) (Entry, error) {
	return coalesceRead(ctx, b, flightNameOfGet(key), func(ctx context.Context) (Entry, error) {
		return b.config.Store.Get(ctx, key)
	})
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (b *LimitedStore) List(ctx context.Context, prefix string) (Listing, error) {
	return coalesceRead(ctx, b, "list "+prefix, func(ctx context.Context) (Listing, error) {
		return b.config.Store.List(ctx, prefix)
	})
}

// Watch opens a watch, which counts as one read and towards the limit on open watches.
func (b *LimitedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	if err := b.admit(ctx, b.reads); err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	opened := b.usage.TryUpdate(func(u Usage) (Usage, bool) {
		u.OpenWatches++
		u.Watches++
		return u, u.OpenWatches <= int64(b.config.MaxWatches)
	})
	if !opened {
		return nil, fmt.Errorf("watch %s: %w", prefix, b.reject("too many watches"))
	}
	events, err := b.config.Store.Watch(ctx, prefix, from)
	if err != nil {
		b.releaseWatch()
		return nil, err
	}
	out := make(chan Event)
	go func() {
		defer b.releaseWatch()
		defer close(out)
		for e := range events {
			if !send(ctx, out, e) {
				return
			}
		}
	}()
	return out, nil
}

func (b *LimitedStore) releaseWatch() {
	b.updateUsage(func(u Usage) Usage { u.OpenWatches--; return u })
}

func flightNameOfGet(key string) string {
	return "get " + key
}

// coalesceRead lets concurrent callers of the same read share one call, which goes on for the
// others when the context of one ends.
func coalesceRead[T any](ctx context.Context, b *LimitedStore, name string, read func(context.Context) (T, error)) (T, error) {
	var none T
	if err := contextError(ctx); err != nil {
		return none, err
	}
	f, shared := b.flights.join(name, func(ctx context.Context) (any, error) {
		return retryRead(ctx, b, read)
	})
	defer b.flights.leave(name, f)
	if shared {
		b.updateUsage(func(u Usage) Usage { u.Coalesced++; return u })
	}
	select {
	case <-f.done:
	case <-ctx.Done():
		return none, contextError(ctx)
	}
	if f.err != nil {
		return none, f.err
	}
	return f.value.(T), nil
}

// retryRead makes the read, and retries it within the limits on attempts and retries while the
// service is unavailable. A throttled read is not retried.
func retryRead[T any](ctx context.Context, b *LimitedStore, read func(context.Context) (T, error)) (T, error) {
	for try := 1; ; try++ {
		v, err := readOnce(ctx, b, read)
		if err == nil || !errors.Is(err, ErrUnavailable) || errors.As(err, new(Throttled)) {
			return v, err
		}
		if try >= b.config.MaxAttempts || !b.retries.Allow() {
			return v, err
		}
		b.updateUsage(func(u Usage) Usage { u.Retries++; return u })
		if waitErr := b.waitBackoff(ctx, try); waitErr != nil {
			return v, err
		}
	}
}

// readOnce makes one attempt of a read within the rate limit.
func readOnce[T any](ctx context.Context, b *LimitedStore, read func(context.Context) (T, error)) (T, error) {
	if err := b.admit(ctx, b.reads); err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.Timeout)
	defer cancel()
	b.updateUsage(func(u Usage) Usage { u.Reads++; return u })
	return read(ctx)
}
