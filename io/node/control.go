package node

import (
	"context"
	"fmt"
	"time"

	"endivehitch/core/loop"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

type command = loop.Command[state.State, state.Effect]

// controlLoop wraps the control loop for the other components.
type controlLoop struct {
	loop *loop.Loop[state.State, state.Effect]
}

// Snapshot returns the current control state.
func (c *controlLoop) Snapshot() state.State {
	return c.loop.Snapshot()
}

// Watch returns the current control state and a channel that is closed once there is a newer one.
func (c *controlLoop) Watch() (state.State, <-chan struct{}) {
	return c.loop.Watch()
}

// Do applies a command and returns once the resulting state is published.
func (c *controlLoop) Do(ctx context.Context, cmd command) error {
	if err := c.loop.Do(ctx, cmd); err != nil {
		return fmt.Errorf("apply command: %w", err)
	}
	return nil
}

func (c *controlLoop) needsBillTakeover(id value.InstanceID) bool {
	return query.NeedsBillTakeover(c.loop.Snapshot(), id, time.Now())
}

func (c *controlLoop) hasDeparted(id value.InstanceID) bool {
	return query.HasDeparted(c.loop.Snapshot(), id)
}
