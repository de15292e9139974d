package plat

import (
	"context"
	"errors"
	"fmt"
)

// Get returns the entry, with revision zero if there is none.
func (l *LimitedStore) Get(ctx context.Context, key string) (Entry, error) {
	return coalesceRead(ctx, l, flightNameOfGet(key), func(ctx context.Context) (Entry, error) {
		return l.config.Store.Get(ctx, key)
	})
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (l *LimitedStore) List(ctx context.Context, prefix string) (Listing, error) {
	return coalesceRead(ctx, l, "list "+prefix, func(ctx context.Context) (Listing, error) {
		return l.config.Store.List(ctx, prefix)
	})
}

// Watch opens a watch, which counts as one read and towards the limit on open watches.
func (l *LimitedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	if err := l.admit(ctx, l.reads); err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	opened := l.usage.TryUpdate(func(u Usage) (Usage, bool) {
		u.OpenWatches++
		u.Watches++
		return u, u.OpenWatches <= int64(l.config.MaxWatches)
	})
	if !opened {
		return nil, fmt.Errorf("watch %s: %w", prefix, l.reject("too many watches"))
	}
	events, err := l.config.Store.Watch(ctx, prefix, from)
	if err != nil {
		l.releaseWatch()
		return nil, err
	}
	out := make(chan Event)
	go func() {
		defer l.releaseWatch()
		defer close(out)
		for e := range events {
			if !send(ctx, out, e) {
				return
			}
		}
	}()
	return out, nil
}

func (l *LimitedStore) releaseWatch() {
	l.updateUsage(func(u Usage) Usage { u.OpenWatches--; return u })
}

func flightNameOfGet(key string) string {
	return "get " + key
}

// coalesceRead lets concurrent callers of the same read share one call, which goes on for the
// others when the context of one ends.
func coalesceRead[T any](ctx context.Context, l *LimitedStore, name string, read func(context.Context) (T, error)) (T, error) {
	var none T
	if err := contextError(ctx); err != nil {
		return none, err
	}
	f, shared := l.flights.join(name, func(ctx context.Context) (any, error) {
		return retryRead(ctx, l, read)
	})
	defer l.flights.leave(name, f)
	if shared {
		l.updateUsage(func(u Usage) Usage { u.Coalesced++; return u })
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
func retryRead[T any](ctx context.Context, l *LimitedStore, read func(context.Context) (T, error)) (T, error) {
	for try := 1; ; try++ {
		v, err := readOnce(ctx, l, read)
		if err == nil || !errors.Is(err, ErrUnavailable) || errors.As(err, new(Throttled)) {
			return v, err
		}
		if try >= l.config.MaxAttempts || !l.retries.Allow() {
			return v, err
		}
		l.updateUsage(func(u Usage) Usage { u.Retries++; return u })
		if waitErr := l.waitBackoff(ctx, try); waitErr != nil {
			return v, err
		}
	}
}

// readOnce makes one attempt of a read within the rate limit.
func readOnce[T any](ctx context.Context, l *LimitedStore, read func(context.Context) (T, error)) (T, error) {
	if err := l.admit(ctx, l.reads); err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.updateUsage(func(u Usage) Usage { u.Reads++; return u })
	return read(ctx)
}
