package loop

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// ErrStopped is returned to senders once the loop has ended.
var ErrStopped = errors.New("control loop stopped")

// Command is a typed message that changes the control state.
//
// Apply is pure: it returns the next state and the effects that follow from it.
type Command[S, E any] interface {
	Apply(s S, now time.Time) (S, []E)
}

// Config sets up a Loop.
type Config[S, E any] struct {
	// Initial is the state before the first command.
	Initial S
	// Now tells the time.
	Now func() time.Time
	// Mailbox is how many commands may wait before senders block.
	Mailbox int
}

// Loop owns the control state and publishes its snapshots.
type Loop[S, E any] struct {
	now     func() time.Time
	mailbox chan delivery[S, E]
	effects chan E
	current atomic.Pointer[published[S]]
	stopped chan struct{}
}

type delivery[S, E any] struct {
	command Command[S, E]
	applied chan struct{}
}

type published[S any] struct {
	state   S
	changed chan struct{}
}

// New returns a loop that is not yet running.
func New[S, E any](c Config[S, E]) (*Loop[S, E], error) {
	if c.Now == nil {
		return nil, errors.New("loop: no clock")
	}
	if c.Mailbox < 1 {
		return nil, fmt.Errorf("loop: mailbox of %d commands", c.Mailbox)
	}
	l := &Loop[S, E]{
		now:     c.Now,
		mailbox: make(chan delivery[S, E], c.Mailbox),
		effects: make(chan E),
		stopped: make(chan struct{}),
	}
	l.current.Store(&published[S]{state: c.Initial, changed: make(chan struct{})})
	return l, nil
}

// Snapshot returns the latest state.
func (l *Loop[S, E]) Snapshot() S {
	return l.current.Load().state
}

// Watch returns the latest state and a channel that is closed once there is a newer one.
func (l *Loop[S, E]) Watch() (S, <-chan struct{}) {
	p := l.current.Load()
	return p.state, p.changed
}

// Effects yields the effects of the commands in order; it is closed when the loop ends.
func (l *Loop[S, E]) Effects() <-chan E {
	return l.effects
}

// Send hands a command to the loop and returns without waiting for it to be applied.
func (l *Loop[S, E]) Send(ctx context.Context, c Command[S, E]) error {
	return l.deliver(ctx, delivery[S, E]{command: c})
}

// Do hands a command to the loop and returns once its state is published.
func (l *Loop[S, E]) Do(ctx context.Context, c Command[S, E]) error {
	d := delivery[S, E]{command: c, applied: make(chan struct{})}
	if err := l.deliver(ctx, d); err != nil {
		return err
	}
	select {
	case <-d.applied:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("await command: %w", ctx.Err())
	}
}

func (l *Loop[S, E]) deliver(ctx context.Context, d delivery[S, E]) error {
	select {
	case l.mailbox <- d:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("send command: %w", ctx.Err())
	}
}

// Run applies commands until the context ends; it is called once, in a goroutine of its own.
func (l *Loop[S, E]) Run(ctx context.Context) {
	defer close(l.effects)
	defer close(l.stopped)
	var pending []E
	for {
		// The mailbox is read even while workers are slow to take effects:
		// a worker that sends a command must never wait for itself.
		out, first := l.outlet(pending)
		select {
		case <-ctx.Done():
			return
		case d := <-l.mailbox:
			pending = append(pending, l.apply(d)...)
		case out <- first:
			pending = pending[1:]
		}
	}
}

// outlet returns a nil channel, which is never ready, while there is nothing to hand out.
func (l *Loop[S, E]) outlet(pending []E) (chan<- E, E) {
	if len(pending) == 0 {
		var none E
		return nil, none
	}
	return l.effects, pending[0]
}

func (l *Loop[S, E]) apply(d delivery[S, E]) []E {
	was := l.current.Load()
	next, effects := d.command.Apply(was.state, l.now())
	l.current.Store(&published[S]{state: next, changed: make(chan struct{})})
	close(was.changed)
	if d.applied != nil {
		close(d.applied)
	}
	return effects
}
