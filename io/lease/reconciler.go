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

// ErrNotConfirmed marks an order whose effect was not found when the server was read back; the
// order has to be sent again.
var ErrNotConfirmed = errors.New("order had no effect at the backend server")

// DesiredState says whether a backend server is to have a version loaded.
type DesiredState struct {
	Server  value.BackendServer
	Version value.VersionKey
	Loaded  bool
	// Fencing reports that the server rejects orders with an older fencing token.
	Fencing bool
}

// Reconciler brings backend servers to their desired state, within a duty's term.
type Reconciler struct {
	Commander engine.Commander
}

// Reconcile brings the server to the desired state and returns nil once the server, read back,
// confirms it.
//
// It sends no order if the server already is in that state, so that a retry is idempotent. An error
// that wraps ErrTermEnded means that no order was sent.
func (r Reconciler) Reconcile(ctx context.Context, term Term, desired DesiredState) error {
	if err := awaitTakeoverDelay(ctx, term, desired); err != nil {
		return err
	}
	matches, err := r.matches(ctx, term, desired)
	if err != nil || matches {
		return err
	}
	if err := r.sendOrder(ctx, term, desired); err != nil {
		return err
	}
	matches, err = r.matches(ctx, term, desired)
	if err != nil {
		return err
	}
	if !matches {
		return fmt.Errorf("%s at %s: %w", desired.Version, desired.Server.ID, ErrNotConfirmed)
	}
	return nil
}

// awaitTakeoverDelay waits until orders of the previous holder can no longer arrive, unless the
// server rejects those by their fencing token.
func awaitTakeoverDelay(ctx context.Context, term Term, desired DesiredState) error {
	if desired.Fencing {
		return nil
	}
	if left := term.TakeoverDelayLeft(time.Now()); left > 0 {
		clock.WaitFully(ctx, left)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("wait for end of previous holder's orders: %w: %w", ErrTermEnded, err)
	}
	return nil
}

// matches reads back whether the server is in the desired state.
func (r Reconciler) matches(ctx context.Context, term Term, desired DesiredState) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, term.rule.MaxOrderTime)
	defer cancel()
	loaded, err := r.Commander.LoadedVersions(ctx, desired.Server)
	if err != nil {
		return false, fmt.Errorf("read loaded versions of %s: %w", desired.Server.ID, err)
	}
	return slices.Contains(loaded, desired.Version) == desired.Loaded, nil
}

// sendOrder sends a load or unload order. It checks the term right before sending and bounds the
// order's time, so that the order ends within the term.
func (r Reconciler) sendOrder(ctx context.Context, term Term, desired DesiredState) error {
	ctx, cancel := context.WithTimeout(ctx, term.rule.MaxOrderTime)
	defer cancel()
	if !term.CanSendOrder(time.Now()) {
		return fmt.Errorf("send order to %s: %w", desired.Server.ID, ErrTermEnded)
	}
	verb := engine.OrderUnload
	if desired.Loaded {
		verb = engine.OrderLoad
	}
	order := engine.Order{Verb: verb, Version: desired.Version, FencingToken: term.FencingToken()}
	if err := r.Commander.Send(ctx, desired.Server, order); err != nil {
		return fmt.Errorf("send order to %s: %w", desired.Server.ID, err)
	}
	return nil
}
