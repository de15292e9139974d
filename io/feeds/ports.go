package feeds

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
)

// Errors that the implementations of the store's interfaces return.
var (
	// ErrStoreUnreachable is returned when the store did not answer, or answered that it is unavailable.
	ErrStoreUnreachable = errors.New("store is unreachable")
	// ErrHistoryDropped is returned when the store no longer has the changes that were asked for.
	ErrHistoryDropped = errors.New("store no longer has the requested changes")
	// ErrConflict is returned when a write's condition does not hold.
	ErrConflict = errors.New("write condition does not hold")
	// ErrLeaseExpired is returned when a lease has expired.
	ErrLeaseExpired = errors.New("lease has expired")
)

// Reader reads the entries of the store.
type Reader interface {
	// Snapshot reads a full snapshot of the store.
	Snapshot(ctx context.Context) (relay.Feed, error)
	// Changes returns the changes after the revision, and waits up to the time for the first of them; the
	// error wraps ErrHistoryDropped when the store no longer has them.
	Changes(ctx context.Context, after int64, wait time.Duration) (relay.Feed, error)
}

// Leaser manages leases, and writes the instance's entry, which is removed with its lease.
type Leaser interface {
	// Acquire acquires a lease with the lifetime, and returns its ID.
	Acquire(ctx context.Context, lifetime time.Duration) (int64, error)
	// Renew renews the lease; the error wraps ErrLeaseExpired when it has expired.
	Renew(ctx context.Context, lease int64) error
	// Release ends the lease before it expires.
	Release(ctx context.Context, lease int64) error
	// Register writes the instance's entry under the lease, and returns the revision of that.
	Register(ctx context.Context, m relay.Member, lease int64) (int64, error)
}

// Ask is the request of one instance to another for changes.
type Ask struct {
	// Revision is the latest revision that the requesting instance has.
	Revision int64
	// Wait is how long the answering instance may wait for a newer revision.
	Wait time.Duration
	// Reports are load reports of backend servers for the answering instance.
	Reports []relay.ServerReport
	// Use is what client accounts use at the requesting instance.
	Use relay.UseReport
	// Bulk asks for all changes, however many; without it the answer may be that there are too many.
	Bulk bool
}

// Reports are what instances exchange of the load: reports of backend servers, and what client accounts use.
type Reports interface {
	// FreshReports returns the reports that are recent enough to be of use to others.
	FreshReports() []relay.ServerReport
	// MergeReports takes in reports from another instance.
	MergeReports(reports []relay.ServerReport)
	// OwnUse returns what client accounts use at this instance, and FleetUse the sum of that and what other instances have
	// reported to it.
	OwnUse() relay.UseReport
	FleetUse() relay.UseReport
	// MergeUse takes in such a report from another instance.
	MergeUse(report relay.UseReport)
}

// Losses are the reports of backend servers, with the losses of servers.
type Losses interface {
	Reports
	// LossUpdates returns a channel that receives a value when the loss of a server has become known.
	LossUpdates() <-chan struct{}
}

// LossPeers exchanges reports with other instances.
type LossPeers interface {
	// ExchangeReports sends the reports to the instance at the address, and returns its own.
	ExchangeReports(ctx context.Context, address string, reports []relay.ServerReport) ([]relay.ServerReport, error)
}

// PartRecords are the records of parts of prompts under which backend servers crashed, which instances exchange.
type PartRecords interface {
	// PartReports returns the quarantined parts and what has changed lately.
	PartReports() []relay.PartReport
	// MergePartReports takes in reports from another instance.
	MergePartReports(reports []relay.PartReport)
	// PartUpdates returns a channel that receives a value when PartReports have changed.
	PartUpdates() <-chan struct{}
}

// PartPeers exchanges such records with other instances.
type PartPeers interface {
	// ExchangeParts sends the reports to the instance at the address, and returns its own.
	ExchangeParts(ctx context.Context, address string, reports []relay.PartReport) ([]relay.PartReport, error)
}

// Peers requests changes from other instances.
type Peers interface {
	// Since requests the changes after a revision from the instance at the address.
	Since(ctx context.Context, address string, request Ask) (relay.Feed, error)
}

// Control is the control loop that owns the state.
type Control interface {
	// Snapshot returns the latest state.
	Snapshot() relay.State
	// Watch returns the latest state and a channel that is closed once there is a newer one.
	Watch() (relay.State, <-chan struct{})
	// Do applies the command to the state.
	Do(ctx context.Context, c loop.Command[relay.State, relay.Effect]) error
}
