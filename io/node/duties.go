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
	// collectInterval is how often new attempts and ratings are passed to the control state.
	collectInterval = time.Second
	// stepInterval is how often the roll-outs are checked for steps that are due.
	stepInterval = 2 * time.Second
)

// dutyPrefix returns the prefix of the keys under which the leases of duties are stored.
func dutyPrefix(e value.Environment) string {
	return "endivehitch/" + string(e) + "/duty/"
}

// duties holds the components that work on roll-outs, and the runner of duties. A duty is a
// singleton task: it is run by the one instance of the fleet that holds its lease.
type duties struct {
	// persister stores the positions of roll-outs and the withdrawals of versions.
	persister *stage.Persister
	// collector passes attempts and ratings to the control state and takes the steps that are due.
	collector *stage.Collector
	// runner acquires leases and runs their duties.
	runner *lease.Runner
}

func (n *Node) newDuties() (*duties, error) {
	d := &duties{}
	var err error
	reportError := func(err error) { n.config.Log.Warn("RollOutFailed", zap.Error(err)) }
	if d.persister, err = stage.NewPersister(stage.PersisterConfig{
		Store:       n.components.store,
		Environment: n.config.Environment,
		Do:          n.control.Do,
		ReportError: reportError,
		RetryDelay:  n.newRetryDelay(),
	}); err != nil {
		return nil, fmt.Errorf("create roll-out persister: %w", err)
	}
	if d.collector, err = stage.NewCollector(stage.CollectorConfig{
		DrainCounts: n.flow.TakeAttemptCounts,
		Ratings:     n.config.Ratings,
		Caller:      n.components.client,
		Snapshot:    n.control.Snapshot,
		Do:          n.control.Do,
		ReportError: reportError,
		Now:         time.Now,
		Interval:    collectInterval,
	}); err != nil {
		return nil, fmt.Errorf("create roll-out collector: %w", err)
	}
	if err = d.collector.Register(n.components.server); err != nil {
		return nil, fmt.Errorf("register RPC of roll-out collector: %w", err)
	}
	if d.runner, err = lease.New(lease.Config{
		Observer: n.control,
		Store:    n.components.store,
		Prefix:   dutyPrefix(n.config.Environment),
		Rule:     fleet.DefaultLeaseRule(),
		Duties:   []lease.Duty{{Name: "rollout", Run: d.runRollOutSteps}},
		Record:   func(d state.RecordDecision) { n.recordEvent(d) },
		Seed:     n.config.Seed,
	}); err != nil {
		return nil, fmt.Errorf("create duty runner: %w", err)
	}
	return d, nil
}

// runRollOutSteps is the duty that takes the due steps of roll-outs, for as long as the lease's
// term lasts.
func (d *duties) runRollOutSteps(ctx context.Context, t lease.Term) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !t.IsValid(time.Now()) {
			return lease.ErrTermEnded
		}
		if err := d.collector.TakeDueSteps(ctx); err != nil {
			return err
		}
	}
}

// newRetryDelay returns a function that computes the jittered delay after the given number of
// consecutive failures. Only one goroutine may use it.
func (n *Node) newRetryDelay() func(int) time.Duration {
	rnd := newRand(n.config.Seed)
	return func(failures int) time.Duration {
		return policy.Backoff{InitialDelay: initialBackoff, MaxDelay: maxBackoff}.WithFailures(failures).Delay(rnd)
	}
}
