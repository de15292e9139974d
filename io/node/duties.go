package node

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"endivehitch/core/fleet"
	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/lease"
	"endivehitch/io/stage"
)

const (
	// feedEvery is the time between two looks at runs and ratings.
	feedEvery = time.Second
	// stepEvery is the time between two looks for due steps of roll-outs.
	stepEvery = 2 * time.Second
)

func dutyPrefix(e value.Environment) string {
	return "endivehitch/" + string(e) + "/duty/"
}

// duties is what the instance does for roll-outs, and the work that one instance of the fleet does at a time.
type duties struct {
	keeper *stage.Keeper
	feeder *stage.Feeder
	runner *lease.Runner
}

func (n *Node) newDuties() (*duties, error) {
	d := &duties{}
	var err error
	failed := func(err error) { n.config.Log.Warn("RollOutFailed", zap.Error(err)) }
	if d.keeper, err = stage.NewKeeper(stage.KeeperConfig{
		Store:       n.parts.store,
		Environment: n.config.Environment,
		Do:          n.control.Do,
		Failed:      failed,
		Delay:       n.delay(),
	}); err != nil {
		return nil, fmt.Errorf("make keeper: %w", err)
	}
	if d.feeder, err = stage.NewFeeder(stage.FeederConfig{
		Drain:    n.flow.Drain,
		Ratings:  n.config.Ratings,
		Caller:   n.parts.client,
		Snapshot: n.control.Snapshot,
		Do:       n.control.Do,
		Failed:   failed,
		Now:      time.Now,
		Every:    feedEvery,
	}); err != nil {
		return nil, fmt.Errorf("make feeder: %w", err)
	}
	if err = d.feeder.Register(n.parts.server); err != nil {
		return nil, fmt.Errorf("offer feeder to other instances: %w", err)
	}
	if d.runner, err = lease.New(lease.Config{
		Observer: n.control,
		Store:    n.parts.store,
		Prefix:   dutyPrefix(n.config.Environment),
		Rule:     fleet.DefaultLeaseRule(),
		Duties:   []lease.Duty{{Name: "rollout", Run: d.steps}},
		Record:   func(d state.RecordDecision) { n.log(d) },
		Seed:     n.config.Seed,
	}); err != nil {
		return nil, fmt.Errorf("make duty runner: %w", err)
	}
	return d, nil
}

// steps takes the due steps of roll-outs for as long as the term lasts.
func (d *duties) steps(ctx context.Context, t lease.Term) error {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !t.Valid(time.Now()) {
			return lease.ErrTermEnded
		}
		if err := d.feeder.Step(ctx); err != nil {
			return err
		}
	}
}

// delay returns the jittered wait after so many failures in a row; its result is used by one goroutine.
func (n *Node) delay() func(int) time.Duration {
	rnd := newRand(n.config.Seed)
	return func(failures int) time.Duration {
		return policy.Backoff{First: backoffFirst, Limit: backoffLimit}.WithFailures(failures).Delay(rnd)
	}
}
