package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/loop"
)

// addTwo is a command with two effects.
type addTwo struct{}

func (addTwo) Apply(s int, _ time.Time) (int, []string) {
	return s + 2, []string{"first", "second"}
}

// Guards against a log line, a metric or a notice to other instances that is missing because an instance ended right after the
// command that led to it.
func TestEffectsOfAppliedCommandsAreHandedOnAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, err := loop.New(loop.Config[int, string]{Now: time.Now, Mailbox: 1})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		assert.NilError(t, l.Do(ctx, addTwo{}))
		cancel()
		synctest.Wait()
		assert.ErrorIs(t, l.Do(t.Context(), addTwo{}), loop.ErrStopped)
		var effects []string
		for e := range l.Effects() {
			effects = append(effects, e)
		}
		assert.DeepEqual(t, effects, []string{"first", "second"})
		assert.Equal(t, l.Snapshot(), 2)
	})
}
