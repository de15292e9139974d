package flow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// Config holds the dependencies and settings of a Flow.
type Config struct {
	// Snapshot returns the current control state.
	Snapshot func() state.State
	Runner   engine.Runner
	Biller   Biller
	Guard    IdempotencyGuard
	// Judge assesses the answers of cascades; without it, no cascade is tried.
	Judge Judge
	// Record is called for each decision; it must not block.
	Record func(value.Decision)
	Now    func() time.Time
	// Seed makes the random choices of an instance differ from those of the others.
	Seed uint64
}

// Flow serves the requests of one instance; its methods may be called concurrently.
type Flow struct {
	Config
	loads    *ServerLoads
	stats    *trafficStats
	slots    *slotAllocator
	shared   *sharedExecutions
	counters attemptCounters
	// held bounds the answers that are kept in memory.
	held *policy.BufferBudget
}

// New returns a flow, or an error that names the missing part of the configuration.
func New(config Config) (*Flow, error) {
	switch {
	case config.Snapshot == nil:
		return nil, errors.New("flow: Config.Snapshot is not set")
	case config.Runner == nil:
		return nil, errors.New("flow: Config.Runner is not set")
	case config.Biller == nil:
		return nil, errors.New("flow: Config.Biller is not set")
	case config.Guard == nil:
		return nil, errors.New("flow: Config.Guard is not set")
	case config.Record == nil:
		return nil, errors.New("flow: Config.Record is not set")
	case config.Now == nil:
		return nil, errors.New("flow: Config.Now is not set")
	}
	held, err := policy.NewBufferBudget(heldAnswers)
	if err != nil {
		return nil, fmt.Errorf("flow: %w", err)
	}
	f := &Flow{Config: config, loads: NewServerLoads(), stats: new(trafficStats), shared: newSharedExecutions(), held: held}
	f.slots = &slotAllocator{flow: f}
	return f, nil
}

// ServerLoads returns the loads of the backend servers as this instance knows them.
func (f *Flow) ServerLoads() *ServerLoads {
	return f.loads
}

// RetryWaiting tries again to get slots for the waiting requests. It is called for each new control
// state and when an ejection ends.
func (f *Flow) RetryWaiting() {
	if f.slots.waiting.Load() > 0 {
		f.slots.grantWaiting(f.slots.tryAnyServer)
	}
}

// Follow drops the loads of removed servers and calls RetryWaiting for each new control state,
// until the context ends.
func (f *Flow) Follow(ctx context.Context, watch func() (state.State, <-chan struct{})) {
	for {
		s, changed := watch()
		f.loads.Prune(s.Servers(), f.Now())
		f.RetryWaiting()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Waiting returns how many requests wait for a slot.
func (f *Flow) Waiting() int {
	return int(f.slots.waiting.Load())
}

// Serve answers the request and writes the answer to the writer; the error is a value.Refusal.
func (f *Flow) Serve(ctx context.Context, j Job, writer ResponseWriter) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, j.Request.Deadline)
	defer cancel()
	e := newExecution(f, j, writer)
	result, err := e.serve(ctx)
	if err != nil {
		return Result{}, e.refuse(ctx, err)
	}
	return result, nil
}
