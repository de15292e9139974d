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

// PlacerConfig sets up the duty of placement.
type PlacerConfig struct {
	Snapshot func() state.State
	// Wants returns the demand and the sessions of the moment; its Loads are set from the weight store.
	Wants   func() query.PlacementDemand
	Weights plat.WeightStore
	Orders  Orders
	Rule    query.PlacementRule
	// Every is the time between passes.
	Every time.Duration
	// Record takes each placement decision.
	Record func(state.RecordDecision)
}

// NewPlacement returns the duty that brings backend servers to what is wanted of them.
func NewPlacement(c PlacerConfig) (Duty, error) {
	switch {
	case c.Snapshot == nil || c.Wants == nil || c.Weights == nil || c.Orders.Commander == nil || c.Record == nil:
		return Duty{}, errors.New("placement: incomplete configuration")
	case c.Every <= 0 || c.Rule.VersionsPerServer < 1 || c.Rule.Domains < 1:
		return Duty{}, errors.New("placement: incomplete rule")
	}
	p := placer{PlacerConfig: c}
	return Duty{Name: "placement", Run: p.run}, nil
}

type placer struct {
	PlacerConfig
}

func (p placer) run(ctx context.Context, t Term) error {
	for ctx.Err() == nil {
		// What failed is still wanted in the next pass.
		if err := p.pass(ctx, t); errors.Is(err, ErrTermEnded) {
			return err
		}
		clock.Passed(ctx, p.Every)
	}
	return fmt.Errorf("place versions: %w", ctx.Err())
}

func (p placer) pass(ctx context.Context, t Term) error {
	wants := p.Wants()
	loads, err := p.Weights.Available(ctx)
	if err != nil {
		// Without the weight store only unloads are possible.
		loads = 0
	}
	wants.MaxLoads = loads
	s := p.Snapshot()
	for _, o := range query.PlanPlacement(s, p.Rule, wants) {
		pool, _ := s.Pool(o.Server.Pool)
		p.Record(state.RecordDecision{Event: what(o), Subject: string(o.Version) + " at " + string(o.Server.ID), Reason: o.Reason})
		goal := Goal{Server: o.Server, Version: o.Version, Carry: o.Load, Fencing: pool.Fencing}
		if err := p.Orders.Reach(ctx, t, goal); err != nil {
			return err
		}
	}
	return nil
}

func what(o query.Placement) string {
	if o.Load {
		return "PlacementLoad"
	}
	return "PlacementUnload"
}
