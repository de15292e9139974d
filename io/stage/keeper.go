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

// KeeperConfig sets up a Keeper.
type KeeperConfig struct {
	Store       plat.Store
	Environment value.Environment
	// Do applies a command to the control state.
	Do func(context.Context, Command) error
	// Failed takes the errors after which the keeper goes on.
	Failed func(error)
	// Delay returns how long to wait before another attempt after so many failures in a row.
	Delay func(failures int) time.Duration
}

// Keeper keeps positions and withdrawals in the key-value service, from which they spread.
type Keeper struct {
	config KeeperConfig
	// wanted holds what is still to be kept, the latest of each.
	wanted policy.Cell[policy.Table[string, state.Effect]]
	wake   chan struct{}
}

// NewKeeper returns a keeper, or an error that names what the configuration lacks.
func NewKeeper(c KeeperConfig) (*Keeper, error) {
	switch {
	case c.Store == nil:
		return nil, errors.New("keeper: no key-value service")
	case c.Do == nil:
		return nil, errors.New("keeper: no control loop")
	case c.Failed == nil:
		return nil, errors.New("keeper: no one to tell of failures")
	case c.Delay == nil:
		return nil, errors.New("keeper: no delay between attempts")
	}
	return &Keeper{config: c, wake: make(chan struct{}, 1)}, nil
}

// Take notes an effect to be carried out by Run and returns at once; it reports whether it is one of the keeper's.
func (k *Keeper) Take(e state.Effect) bool {
	var key string
	switch e := e.(type) {
	case state.StoreProgress:
		key = conf.RollOutKey(k.config.Environment, e.Progress.Name)
	case state.StoreWithdrawal:
		key = conf.WithdrawalKey(k.config.Environment, e.Withdrawal.Version)
	default:
		return false
	}
	k.wanted.Update(func(t policy.Table[string, state.Effect]) policy.Table[string, state.Effect] { return t.With(key, e) })
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return true
}

// Run keeps what was taken until the context ends; what can't be kept is tried again.
func (k *Keeper) Run(ctx context.Context) error {
	failures := 0
	for {
		if !k.flush(ctx) {
			failures++
			if !clock.Passed(ctx, k.config.Delay(failures)) {
				return nil
			}
			continue
		}
		failures = 0
		select {
		case <-k.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// flush tries to keep each wanted value once and reports whether none is left.
func (k *Keeper) flush(ctx context.Context) bool {
	whole := true
	for key, e := range k.wanted.Get().All() {
		if err := k.keep(ctx, e); err != nil {
			k.config.Failed(err)
			whole = false
			continue
		}
		k.wanted.Update(func(t policy.Table[string, state.Effect]) policy.Table[string, state.Effect] {
			if now, _ := t.Get(key); now != e {
				// A later value came meanwhile.
				return t
			}
			return t.Without(key)
		})
	}
	return whole
}

// keep also installs what stands then, which is another value where another instance was faster.
func (k *Keeper) keep(ctx context.Context, e state.Effect) error {
	switch e := e.(type) {
	case state.StoreProgress:
		stands, err := conf.KeepProgress(ctx, k.config.Store, k.config.Environment, e.Progress)
		if err != nil {
			return fmt.Errorf("keep roll-out %s: %w", e.Progress.Name, err)
		}
		return k.config.Do(ctx, cmds.InstallProgress{Progress: stands})
	case state.StoreWithdrawal:
		stands, err := conf.KeepWithdrawal(ctx, k.config.Store, k.config.Environment, e.Withdrawal)
		if err != nil {
			return fmt.Errorf("keep withdrawal of %s: %w", e.Withdrawal.Version, err)
		}
		return k.config.Do(ctx, cmds.InstallWithdrawal{Withdrawal: stands})
	}
	return nil
}
