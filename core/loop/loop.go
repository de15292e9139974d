package loop

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// ErrStopped is returned by Send and Do once the loop has ended.
var ErrStopped = errors.New("control loop stopped")

// Command is a message that changes the control state.
//
// Apply must be pure: it returns the next state and the effects to be carried out.
type Command[S, E any] interface {
	Apply(s S, now time.Time) (S, []E)
}

// Config configures a Loop.
type Config[S, E any] struct {
	// Initial is the state before the first command.
	Initial S
	// Now returns the present time.
	Now func() time.Time
	// Mailbox is how many commands may be queued before senders block.
	Mailbox int
}

// Loop owns the control state and publishes its snapshots.
type Loop[S, E any] struct {
	now     func() time.Time
	mailbox chan envelope[S, E]
	effects chan E
	current atomic.Pointer[snapshot[S]]
	stopped chan struct{}
}

type envelope[S, E any] struct {
	command Command[S, E]
	applied chan struct{}
}

type snapshot[S any] struct {
	state   S
	changed chan struct{}
}

// New returns a loop that has not been started; Run starts it.
func New[S, E any](c Config[S, E]) (*Loop[S, E], error) {
	if c.Now == nil {
		return nil, errors.New("loop: Config.Now is not set")
	}
	if c.Mailbox < 1 {
		return nil, fmt.Errorf("loop: Config.Mailbox is %d, must be at least 1", c.Mailbox)
	}
	l := &Loop[S, E]{
		now:     c.Now,
		mailbox: make(chan envelope[S, E], c.Mailbox),
		effects: make(chan E),
		stopped: make(chan struct{}),
	}
	l.current.Store(&snapshot[S]{state: c.Initial, changed: make(chan struct{})})
	return l, nil
}

// Snapshot returns the latest state.
func (l *Loop[S, E]) Snapshot() S {
	return l.current.Load().state
}

// Watch returns the latest state and a channel that is closed once there is a newer one.
func (l *Loop[S, E]) Watch() (S, <-chan struct{}) {
	latest := l.current.Load()
	return latest.state, latest.changed
}

// Effects returns the channel that yields the effects of the commands in order; it is closed when the
// loop ends. A worker must read it until then.
func (l *Loop[S, E]) Effects() <-chan E {
	return l.effects
}

// Send queues a command and returns without waiting for it to be applied; it blocks while the mailbox
// is full.
func (l *Loop[S, E]) Send(ctx context.Context, c Command[S, E]) error {
	return l.enqueue(ctx, envelope[S, E]{command: c})
}

// Do queues a command and returns once the state that it leads to is published.
func (l *Loop[S, E]) Do(ctx context.Context, c Command[S, E]) error {
	msg := envelope[S, E]{command: c, applied: make(chan struct{})}
	if err := l.enqueue(ctx, msg); err != nil {
		return err
	}
	select {
	case <-msg.applied:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("await command: %w", ctx.Err())
	}
}

func (l *Loop[S, E]) enqueue(ctx context.Context, msg envelope[S, E]) error {
	select {
	case l.mailbox <- msg:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("send command: %w", ctx.Err())
	}
}

// Run applies commands until the context ends; commands that are still queued then are dropped. It returns once all effects
// of the applied ones have been taken. It must be called once, in a goroutine of its own.
func (l *Loop[S, E]) Run(ctx context.Context) {
	defer close(l.effects)
	pending := l.applyUntilDone(ctx)
	close(l.stopped)
	for _, e := range pending {
		l.effects <- e
	}
}

// applyUntilDone applies commands until the context ends, and returns the effects that have not been taken.
func (l *Loop[S, E]) applyUntilDone(ctx context.Context) []E {
	var pending []E
	for {
		// The mailbox is read even while effects are pending: a worker that sends a command before it
		// takes the next effect would otherwise block the loop and itself.
		effects, next := l.nextEffect(pending)
		select {
		case <-ctx.Done():
			return pending
		case msg := <-l.mailbox:
			pending = append(pending, l.apply(msg)...)
		case effects <- next:
			pending = pending[1:]
		}
	}
}

// nextEffect returns the channel and the first pending effect. While there is none the channel is nil,
// so that sending on it never proceeds.
func (l *Loop[S, E]) nextEffect(pending []E) (chan<- E, E) {
	if len(pending) == 0 {
		var zero E
		return nil, zero
	}
	return l.effects, pending[0]
}

func (l *Loop[S, E]) apply(msg envelope[S, E]) []E {
	previous := l.current.Load()
	next, effects := msg.command.Apply(previous.state, l.now())
	l.current.Store(&snapshot[S]{state: next, changed: make(chan struct{})})
	close(previous.changed)
	if msg.applied != nil {
		close(msg.applied)
	}
	return effects
}
