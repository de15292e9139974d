package stage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/loop"
	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

// Command is a command of the control loop.
type Command = loop.Command[state.State, state.Effect]

// PersisterConfig configures a Persister.
type PersisterConfig struct {
	Store plat.Store
	// Environment selects the keys in the key-value service.
	Environment value.Environment
	// Do runs a command in the control loop.
	Do func(context.Context, Command) error
	// ReportError is called with each error after which the persister continues.
	ReportError func(error)
	// RetryDelay returns how long to wait before the next retry after the given number of
	// consecutive failures.
	RetryDelay func(failures int) time.Duration
}

// Persister stores the positions of roll-outs and the withdrawals of versions in the key-value
// service, from which they reach the other instances.
type Persister struct {
	config PersisterConfig
	// pending holds the records that are not stored yet by key, the latest for each key.
	pending policy.Cell[policy.Table[string, state.Effect]]
	// wake holds at most one signal, by which Enqueue notifies Run of new records.
	wake chan struct{}
}

// NewPersister returns a persister, or an error that names the missing setting.
func NewPersister(config PersisterConfig) (*Persister, error) {
	switch {
	case config.Store == nil:
		return nil, errors.New("persister: Store is not set")
	case config.Do == nil:
		return nil, errors.New("persister: Do is not set")
	case config.ReportError == nil:
		return nil, errors.New("persister: ReportError is not set")
	case config.RetryDelay == nil:
		return nil, errors.New("persister: RetryDelay is not set")
	}
	return &Persister{config: config, wake: make(chan struct{}, 1)}, nil
}

// Enqueue queues the position or withdrawal that an effect carries for Run, and reports whether it
// carries one; it never blocks.
func (p *Persister) Enqueue(e state.Effect) bool {
	var key string
	switch e := e.(type) {
	case state.StoreProgress:
		key = conf.RollOutKey(p.config.Environment, e.Progress.Name)
	case state.StoreWithdrawal:
		key = conf.WithdrawalKey(p.config.Environment, e.Withdrawal.Version)
	default:
		return false
	}
	p.pending.Update(func(t policy.Table[string, state.Effect]) policy.Table[string, state.Effect] { return t.With(key, e) })
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return true
}

// Run stores queued records until the context ends; it retries after failures.
func (p *Persister) Run(ctx context.Context) error {
	failures := 0
	for {
		if !p.storePending(ctx) {
			failures++
			if !clock.WaitFully(ctx, p.config.RetryDelay(failures)) {
				return nil
			}
			continue
		}
		failures = 0
		select {
		case <-p.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// storePending tries to store each pending record once and reports whether all attempts succeeded.
func (p *Persister) storePending(ctx context.Context) bool {
	allStored := true
	for key, e := range p.pending.Get().All() {
		if err := p.store(ctx, e); err != nil {
			p.config.ReportError(err)
			allStored = false
			continue
		}
		p.pending.Update(func(t policy.Table[string, state.Effect]) policy.Table[string, state.Effect] {
			if latest, _ := t.Get(key); latest != e {
				// A later record was queued meanwhile.
				return t
			}
			return t.Without(key)
		})
	}
	return allStored
}

// store stores the effect's record and installs the record that is then in force. That is another
// one if the key-value service already has a record that takes precedence.
func (p *Persister) store(ctx context.Context, e state.Effect) error {
	switch e := e.(type) {
	case state.StoreProgress:
		inForce, err := conf.StoreProgress(ctx, p.config.Store, p.config.Environment, e.Progress)
		if err != nil {
			return fmt.Errorf("store position of roll-out %s: %w", e.Progress.Name, err)
		}
		return p.config.Do(ctx, cmds.InstallProgress{Progress: inForce})
	case state.StoreWithdrawal:
		inForce, err := conf.StoreWithdrawal(ctx, p.config.Store, p.config.Environment, e.Withdrawal)
		if err != nil {
			return fmt.Errorf("store withdrawal of %s: %w", e.Withdrawal.Version, err)
		}
		return p.config.Do(ctx, cmds.InstallWithdrawal{Withdrawal: inForce})
	}
	return nil
}
