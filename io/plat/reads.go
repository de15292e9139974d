package plat

import (
	"context"
	"errors"
	"fmt"
)

// Get returns the entry, with revision zero where there is none.
func (b *Budget) Get(ctx context.Context, key string) (Entry, error) {
	return joined(ctx, b, getFlight(key), func(ctx context.Context) (Entry, error) {
		return b.config.Store.Get(ctx, key)
	})
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (b *Budget) List(ctx context.Context, prefix string) (Listing, error) {
	return joined(ctx, b, "list "+prefix, func(ctx context.Context) (Listing, error) {
		return b.config.Store.List(ctx, prefix)
	})
}

// Watch opens a watch, which counts as one read and against the bound on watches.
func (b *Budget) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	if err := b.admit(ctx, b.reads); err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	opened := b.usage.TryUpdate(func(u Usage) (Usage, bool) {
		u.Waiting++
		u.Watches++
		return u, u.Waiting <= int64(b.config.Watches)
	})
	if !opened {
		return nil, fmt.Errorf("watch %s: %w", prefix, b.turnAway("too many watches"))
	}
	in, err := b.config.Store.Watch(ctx, prefix, from)
	if err != nil {
		b.watchEnded()
		return nil, err
	}
	out := make(chan Event)
	go func() {
		defer b.watchEnded()
		defer close(out)
		for e := range in {
			if !send(ctx, out, e) {
				return
			}
		}
	}()
	return out, nil
}

func (b *Budget) watchEnded() {
	b.count(func(u Usage) Usage { u.Waiting--; return u })
}

func getFlight(key string) string {
	return "get " + key
}

// joined lets callers of the same read share one call; a caller that gives up leaves the others theirs.
func joined[T any](ctx context.Context, b *Budget, name string, read func(context.Context) (T, error)) (T, error) {
	var none T
	if err := ended(ctx); err != nil {
		return none, err
	}
	f, under := b.joins.join(name, func(ctx context.Context) (any, error) {
		return retried(ctx, b, read)
	})
	defer b.joins.leave(name, f)
	if under {
		b.count(func(u Usage) Usage { u.Coalesced++; return u })
	}
	select {
	case <-f.done:
	case <-ctx.Done():
		return none, ended(ctx)
	}
	if f.err != nil {
		return none, f.err
	}
	return f.value.(T), nil
}

// retried makes the read and repeats it, inside the retry budget, while the service can't be reached.
func retried[T any](ctx context.Context, b *Budget, read func(context.Context) (T, error)) (T, error) {
	for try := 1; ; try++ {
		v, err := attempt(ctx, b, read)
		if err == nil || !errors.Is(err, ErrUnavailable) || errors.As(err, new(Throttled)) {
			return v, err
		}
		if try >= b.config.Tries || !b.retries.Allow() {
			return v, err
		}
		b.count(func(u Usage) Usage { u.Retries++; return u })
		if waitErr := b.pause(ctx, try); waitErr != nil {
			return v, err
		}
	}
}

func attempt[T any](ctx context.Context, b *Budget, read func(context.Context) (T, error)) (T, error) {
	if err := b.admit(ctx, b.reads); err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.Timeout)
	defer cancel()
	b.count(func(u Usage) Usage { u.Reads++; return u })
	return read(ctx)
}
