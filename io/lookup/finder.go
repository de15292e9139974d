package lookup

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// Config configures a Finder.
type Config struct {
	Self value.InstanceID
	// LocalDecisions returns the decisions that this instance stores about a request, in the order
	// they were made.
	LocalDecisions func(value.RequestID) []value.Decision
	// Instances returns the instances that may store decisions; this instance is skipped.
	Instances func() []value.Instance
	// Caller sends the queries to the other instances.
	Caller peer.Caller
	// MaxParallel bounds the number of instances queried at once.
	MaxParallel int
	// Timeout bounds the query to each instance.
	Timeout time.Duration
}

// Finder looks up decisions at this instance and at the others.
type Finder struct {
	config Config
}

// New returns a Finder, or an error that names what the configuration lacks.
func New(c Config) (*Finder, error) {
	switch {
	case c.LocalDecisions == nil || c.Instances == nil:
		return nil, errors.New("lookup: local decisions or instances function not configured")
	case c.Caller == nil:
		return nil, errors.New("lookup: no caller configured")
	case c.MaxParallel < 1 || c.Timeout <= 0:
		return nil, errors.New("lookup: parallel queries must be at least 1 and the timeout positive")
	}
	return &Finder{config: c}, nil
}

// Register registers the method with which the others query this instance.
func (f *Finder) Register(r peer.Registrar) error {
	return findMethod.Serve(r, func(w wireFind) (wireFound, error) {
		return wireFound{Decisions: encodeDecisions(f.config.LocalDecisions(w.Request))}, nil
	})
}

// Find returns the decisions about the request, in the order they were made.
//
// If none are found the error is value.ChangeRefused, or value.ChangeUnavailable if an instance
// that may store them did not answer.
func (f *Finder) Find(ctx context.Context, id value.RequestID) ([]value.Decision, error) {
	if local := f.config.LocalDecisions(id); len(local) > 0 {
		return local, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found policy.Cell[[]value.Decision]
	var unanswered atomic.Int64
	var g errgroup.Group
	g.SetLimit(f.config.MaxParallel)
	for _, instance := range f.config.Instances() {
		if instance.ID == f.config.Self {
			continue
		}
		g.Go(func() error {
			decisions, err := f.query(ctx, instance, id)
			if err != nil {
				unanswered.Add(1)
				return nil
			}
			if len(decisions) > 0 {
				found.Update(func([]value.Decision) []value.Decision { return decisions })
				cancel()
			}
			return nil
		})
	}
	// The goroutines return no error, so that an instance that does not answer does not stop the
	// others; results are passed in the cell.
	_ = g.Wait()
	return f.result(id, found.Get(), unanswered.Load())
}

func (f *Finder) query(ctx context.Context, instance value.Instance, id value.RequestID) ([]value.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	w, err := findMethod.Call(ctx, f.config.Caller, instance, wireFind{Request: id})
	if err != nil {
		return nil, fmt.Errorf("query instance %s: %w", instance.ID, err)
	}
	return decodeDecisions(w.Decisions), nil
}

// result returns the decisions found, or the error that says why there are none.
func (f *Finder) result(id value.RequestID, found []value.Decision, unanswered int64) ([]value.Decision, error) {
	switch {
	case len(found) > 0:
		return found, nil
	case unanswered > 0:
		return nil, value.ChangeUnavailable{
			Detail: fmt.Sprintf("no instance that answered keeps decisions about request %s, and %d gave no answer", id, unanswered),
		}
	}
	return nil, value.ChangeRefused{
		Reason: value.ReasonUnknownRequest,
		Detail: fmt.Sprintf("no instance keeps decisions about request %s: it may have been too long ago", id),
	}
}
