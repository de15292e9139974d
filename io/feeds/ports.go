package feeds

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
)

// Errors of a Store.
var (
	// ErrAway is returned when the store did not answer, or answered that it can't at present.
	ErrAway = errors.New("store is out of reach")
	// ErrForgotten is returned when the store has dropped the changes that were asked for.
	ErrForgotten = errors.New("store has dropped this history")
	// ErrConflict is returned when a write's condition does not hold.
	ErrConflict = errors.New("condition of the write does not hold")
	// ErrLapsed is returned when a lease has ended.
	ErrLapsed = errors.New("lease has ended")
)

// Reader reads what the store keeps.
type Reader interface {
	// Image reads everything.
	Image(ctx context.Context) (relay.Feed, error)
	// Changes waits for changes after the revision; the error may wrap ErrForgotten.
	Changes(ctx context.Context, after int64, wait time.Duration) (relay.Feed, error)
}

// Leaser holds leases and what depends on them.
type Leaser interface {
	// Lease takes a lease for the time.
	Lease(ctx context.Context, life time.Duration) (int64, error)
	// Keep renews the lease; the error wraps ErrLapsed when it has ended.
	Keep(ctx context.Context, lease int64) error
	// Release ends the lease.
	Release(ctx context.Context, lease int64) error
	// Register writes the instance's entry under the lease.
	Register(ctx context.Context, m relay.Member, lease int64) error
}

// Ask is what an instance asks another one.
type Ask struct {
	// Revision is the newest one that the asking instance has.
	Revision int64
	// Wait is how long the other one waits for news at most.
	Wait time.Duration
	// Bulk asks for all there is, however much; without it the answer may be that it is too much.
	Bulk bool
}

// Peers asks other instances.
type Peers interface {
	// Since asks the instance at the address for what follows a revision.
	Since(ctx context.Context, address string, a Ask) (relay.Feed, error)
}

// Control is the control loop, as its workers use it.
type Control interface {
	// Snapshot returns the latest state.
	Snapshot() relay.State
	// Watch returns the latest state and a channel that is closed once there is a newer one.
	Watch() (relay.State, <-chan struct{})
	// Do applies the command.
	Do(ctx context.Context, c loop.Command[relay.State, relay.Effect]) error
}
