package flow

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// Config sets up a Flow.
type Config struct {
	// Snapshot returns the control state of the moment.
	Snapshot func() state.State
	Runner   engine.Runner
	Biller   Biller
	Guard    Guard
	// Judge assesses answers of cascades; without one no cascade is run.
	Judge Judge
	// Record takes each decision; it must not block.
	Record func(value.Decision)
	Now    func() time.Time
	// Seed makes the choices of an instance differ from those of others.
	Seed uint64
}

// Flow serves requests.
type Flow struct {
	Config
	board   *Board
	past    *past
	gate    *gate
	flights *flights
	tally   tally
}

// New returns a flow, or an error that names what the configuration lacks.
func New(c Config) (*Flow, error) {
	switch {
	case c.Snapshot == nil:
		return nil, errors.New("flow: no snapshot")
	case c.Runner == nil:
		return nil, errors.New("flow: no runner")
	case c.Biller == nil:
		return nil, errors.New("flow: no biller")
	case c.Guard == nil:
		return nil, errors.New("flow: no guard")
	case c.Record == nil:
		return nil, errors.New("flow: no record")
	case c.Now == nil:
		return nil, errors.New("flow: no clock")
	}
	f := &Flow{Config: c, board: NewBoard(), past: new(past), flights: newFlights()}
	f.gate = &gate{flow: f}
	return f, nil
}

// Board returns what the flow's traffic has observed of backend servers.
func (f *Flow) Board() *Board {
	return f.board
}

// Kick lets waiting requests look for a place again; it is called when servers have come or gone.
func (f *Flow) Kick() {
	if f.gate.waiting.Load() > 0 {
		f.gate.serve(f.gate.anywhere)
	}
}

// Follow forgets servers that have gone and calls Kick for each new control state, until the context ends.
func (f *Flow) Follow(ctx context.Context, watch func() (state.State, <-chan struct{})) {
	for {
		s, changed := watch()
		f.board.Prune(s.Servers())
		f.Kick()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Waiting returns how many requests wait for a place.
func (f *Flow) Waiting() int {
	return int(f.gate.waiting.Load())
}

// Serve carries the request to a whole answer in the sink; the error is a value.Refusal.
func (f *Flow) Serve(ctx context.Context, j Job, sink Sink) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, j.Request.Deadline)
	defer cancel()
	r := newRun(f, j, sink)
	result, err := r.serve(ctx)
	if err != nil {
		return Result{}, r.refused(ctx, err)
	}
	return result, nil
}
