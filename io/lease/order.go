package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/engine"
)

// ErrNotCarried marks an order that a read back did not confirm; it is to be given again.
var ErrNotCarried = errors.New("order not confirmed by reading back")

// Goal is what a backend server is to carry or not.
type Goal struct {
	Server  value.BackendServer
	Version value.VersionKey
	Carry   bool
	// Fencing says that the server refuses an order with an old fencing token.
	Fencing bool
}

// Orders brings backend servers to goals, within a duty's term.
type Orders struct {
	Commander engine.Commander
}

// Reach brings the server to the goal and returns once a read back confirms it.
//
// It reads first, so that an order given again changes nothing. An error that wraps
// ErrTermEnded means that no order was sent.
func (o Orders) Reach(ctx context.Context, t Term, g Goal) error {
	if err := awaitQuiet(ctx, t, g); err != nil {
		return err
	}
	reached, err := o.reached(ctx, t, g)
	if err != nil || reached {
		return err
	}
	if err := o.send(ctx, t, g); err != nil {
		return err
	}
	reached, err = o.reached(ctx, t, g)
	if err != nil {
		return err
	}
	if !reached {
		return fmt.Errorf("%s at %s: %w", g.Version, g.Server.ID, ErrNotCarried)
	}
	return nil
}

func awaitQuiet(ctx context.Context, t Term, g Goal) error {
	if g.Fencing {
		return nil
	}
	if left := t.QuietLeft(time.Now()); left > 0 {
		clock.Passed(ctx, left)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("await predecessor's orders: %w: %w", ErrTermEnded, err)
	}
	return nil
}

func (o Orders) reached(ctx context.Context, t Term, g Goal) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, t.rule.MaxOrderTime)
	defer cancel()
	carried, err := o.Commander.Carried(ctx, g.Server)
	if err != nil {
		return false, fmt.Errorf("read back %s: %w", g.Server.ID, err)
	}
	return slices.Contains(carried, g.Version) == g.Carry, nil
}

// send checks the term as late as possible and bounds the order by it.
func (o Orders) send(ctx context.Context, t Term, g Goal) error {
	ctx, cancel := context.WithTimeout(ctx, t.rule.MaxOrderTime)
	defer cancel()
	if !t.MayOrder(time.Now()) {
		return fmt.Errorf("order %s: %w", g.Server.ID, ErrTermEnded)
	}
	verb := engine.OrderUnload
	if g.Carry {
		verb = engine.OrderLoad
	}
	order := engine.Order{Verb: verb, Version: g.Version, Fence: t.Fence()}
	if err := o.Commander.Send(ctx, g.Server, order); err != nil {
		return fmt.Errorf("order %s: %w", g.Server.ID, err)
	}
	return nil
}
