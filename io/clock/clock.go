package clock

import (
	"context"
	"time"
)

// Wait returns nil once the duration has passed, or the context's error if the context ends first.
func Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WaitFully waits like Wait, for use as the condition of a loop: it reports whether the duration
// passed before the context ended.
func WaitFully(ctx context.Context, d time.Duration) bool {
	return Wait(ctx, d) == nil
}
