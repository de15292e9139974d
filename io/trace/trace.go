package trace

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

// Config sets up a Finder.
type Config struct {
	Self value.InstanceID
	// Local returns the decisions that this instance keeps about a request, the first one first.
	Local func(value.RequestID) []value.Decision
	// Instances returns the instances that may keep decisions.
	Instances func() []value.Instance
	Caller    peer.Caller
	// Parallel bounds the instances that are asked at once.
	Parallel int
	// Timeout bounds each instance's answer.
	Timeout time.Duration
}

// Finder finds decisions here or at other instances.
type Finder struct {
	config Config
}

// New returns a finder, or an error that names what the configuration lacks.
func New(c Config) (*Finder, error) {
	switch {
	case c.Local == nil || c.Instances == nil:
		return nil, errors.New("trace: no decisions or instances")
	case c.Caller == nil:
		return nil, errors.New("trace: no transport")
	case c.Parallel < 1 || c.Timeout <= 0:
		return nil, errors.New("trace: no bounds")
	}
	return &Finder{config: c}, nil
}

// Register offers this instance's decisions to the others.
func (f *Finder) Register(r peer.Registrar) error {
	return findMethod.Serve(r, func(w wireFind) (wireFound, error) {
		return wireFound{Decisions: toWire(f.config.Local(w.Request))}, nil
	})
}

// Find returns the decisions about the request, the first one first.
//
// Where none are found the error is value.ChangeRefused, or value.ChangeUnavailable if
// an instance that may keep them gave no answer.
func (f *Finder) Find(ctx context.Context, id value.RequestID) ([]value.Decision, error) {
	if local := f.config.Local(id); len(local) > 0 {
		return local, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found policy.Cell[[]value.Decision]
	var silent atomic.Int64
	var g errgroup.Group
	g.SetLimit(f.config.Parallel)
	for _, i := range f.config.Instances() {
		if i.ID == f.config.Self {
			continue
		}
		g.Go(func() error {
			list, err := f.ask(ctx, i, id)
			if err != nil {
				silent.Add(1)
				return nil
			}
			if len(list) > 0 {
				found.Update(func([]value.Decision) []value.Decision { return list })
				cancel()
			}
			return nil
		})
	}
	// The goroutines report through the cell, so that one silent instance stops no other.
	_ = g.Wait()
	return f.result(id, found.Get(), silent.Load())
}

func (f *Finder) ask(ctx context.Context, i value.Instance, id value.RequestID) ([]value.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	w, err := findMethod.Call(ctx, f.config.Caller, i, wireFind{Request: id})
	if err != nil {
		return nil, fmt.Errorf("ask instance %s: %w", i.ID, err)
	}
	return fromWire(w.Decisions), nil
}

func (f *Finder) result(id value.RequestID, found []value.Decision, silent int64) ([]value.Decision, error) {
	switch {
	case len(found) > 0:
		return found, nil
	case silent > 0:
		return nil, value.ChangeUnavailable{
			Detail: fmt.Sprintf("no instance that answered keeps decisions about request %s, and %d gave no answer", id, silent),
		}
	}
	return nil, value.ChangeRefused{
		Reason: value.ReasonUnknownRequest,
		Detail: fmt.Sprintf("no instance keeps decisions about request %s: it may have been too long ago", id),
	}
}
