package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/io/clock"
	"endivehitch/io/plat"
)

// PlacerConfig configures the placement duty.
type PlacerConfig struct {
	Snapshot func() state.State
	// Demand returns the current demand and sessions; the placer sets MaxLoads from the weight
	// store.
	Demand     func() query.PlacementDemand
	Weights    plat.WeightStore
	Reconciler Reconciler
	Rule       query.PlacementRule
	// Interval is the time between placement passes.
	Interval time.Duration
	// Record is called with each placement decision.
	Record func(state.RecordDecision)
}

// NewPlacement returns the duty that loads and unloads versions at backend servers as demand
// requires.
func NewPlacement(config PlacerConfig) (Duty, error) {
	switch {
	case config.Snapshot == nil || config.Demand == nil || config.Weights == nil || config.Reconciler.Commander == nil || config.Record == nil:
		return Duty{}, errors.New("placement: Snapshot, Demand, Weights, Reconciler.Commander or Record is not set")
	case config.Interval <= 0 || config.Rule.VersionsPerServer < 1 || config.Rule.Domains < 1:
		return Duty{}, errors.New("placement: Interval, VersionsPerServer and Domains must be positive")
	}
	p := placer{PlacerConfig: config}
	return Duty{Name: "placement", Run: p.run}, nil
}

// placer runs the placement duty.
type placer struct {
	PlacerConfig
}

func (p placer) run(ctx context.Context, t Term) error {
	for ctx.Err() == nil {
		// Other errors are ignored: the next pass plans again and retries what failed.
		if err := p.runPass(ctx, t); errors.Is(err, ErrTermEnded) {
			return err
		}
		clock.WaitFully(ctx, p.Interval)
	}
	return fmt.Errorf("place versions: %w", ctx.Err())
}

// runPass plans the placement and carries out its orders until one fails.
func (p placer) runPass(ctx context.Context, term Term) error {
	demand := p.Demand()
	loads, err := p.Weights.Available(ctx)
	if err != nil {
		// While the weight store is unreachable, versions can only be unloaded.
		loads = 0
	}
	demand.MaxLoads = loads
	snapshot := p.Snapshot()
	for _, order := range query.PlanPlacement(snapshot, p.Rule, demand) {
		pool, _ := snapshot.Pool(order.Server.Pool)
		p.Record(state.RecordDecision{Event: eventName(order), Subject: string(order.Version) + " at " + string(order.Server.ID), Reason: order.Reason})
		desired := DesiredState{Server: order.Server, Version: order.Version, Loaded: order.Load, Fencing: pool.Fencing}
		if err := p.Reconciler.Reconcile(ctx, term, desired); err != nil {
			return err
		}
	}
	return nil
}

func eventName(o query.Placement) string {
	if o.Load {
		return "PlacementLoad"
	}
	return "PlacementUnload"
}
