package clock

import (
	"context"
	"time"
)

// Wait returns once the time has passed, or with the context's error when that ends first.
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

// Passed is Wait for loops: it reports whether the time passed before the context ended.
func Passed(ctx context.Context, d time.Duration) bool {
	return Wait(ctx, d) == nil
}
