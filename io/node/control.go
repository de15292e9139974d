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

// control is the control loop as the other parts use it.
type control struct {
	loop *loop.Loop[state.State, state.Effect]
}

// Snapshot returns the control state of the moment.
func (c *control) Snapshot() state.State {
	return c.loop.Snapshot()
}

// Watch returns the control state and a channel that is closed once there is a newer one.
func (c *control) Watch() (state.State, <-chan struct{}) {
	return c.loop.Watch()
}

// Do applies a command and returns once its state is published.
func (c *control) Do(ctx context.Context, cmd command) error {
	if err := c.loop.Do(ctx, cmd); err != nil {
		return fmt.Errorf("apply command: %w", err)
	}
	return nil
}

func (c *control) departed(id value.InstanceID) bool {
	return query.NeedsBillTakeover(c.loop.Snapshot(), id, time.Now())
}

func (c *control) gone(id value.InstanceID) bool {
	return query.HasDeparted(c.loop.Snapshot(), id)
}
