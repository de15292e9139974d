package conf

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	From        plat.Reader
	Environment value.Environment
	// Install takes each change that the key-value service keeps; one may come more than once.
	Install func(context.Context, Changes) error
	// Failed takes the errors after which the follower goes on.
	Failed func(error)
	// Delay returns how long to wait before another attempt after so many failures in a row.
	Delay func(failures int) time.Duration
}

// Follower reads an environment's configuration and its changes.
type Follower struct {
	config FollowerConfig
}

// NewFollower returns a follower, or an error that names what the configuration lacks.
func NewFollower(c FollowerConfig) (*Follower, error) {
	switch {
	case c.From == nil:
		return nil, errors.New("follower: no key-value service")
	case c.Install == nil:
		return nil, errors.New("follower: nothing to install with")
	case c.Failed == nil:
		return nil, errors.New("follower: no one to tell of failures")
	case c.Delay == nil:
		return nil, errors.New("follower: no delay between attempts")
	}
	return &Follower{config: c}, nil
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for {
		read, err := f.watch(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.config.Failed(err)
		}
		failures++
		if read {
			failures = 1
		}
		if err := f.wait(ctx, failures); err != nil {
			return nil
		}
	}
}

// watch installs what stands and each change after it, and returns when the watch breaks off.
func (f *Follower) watch(ctx context.Context) (bool, error) {
	prefix := Prefix(f.config.Environment)
	listing, err := f.config.From.List(ctx, prefix)
	if err != nil {
		return false, fmt.Errorf("read configuration: %w", err)
	}
	for _, e := range listing.Entries {
		f.install(ctx, e)
	}
	events, err := f.config.From.Watch(ctx, prefix, listing.Revision+1)
	if err != nil {
		return true, fmt.Errorf("watch configuration: %w", err)
	}
	for e := range events {
		if !e.Deleted {
			f.install(ctx, e.Entry)
		}
	}
	return true, nil
}

// install keeps what is in force where an entry can't be read.
func (f *Follower) install(ctx context.Context, e plat.Entry) {
	changes, err := Decode(f.config.Environment, e)
	if err == nil {
		err = f.config.Install(ctx, changes)
	}
	if err != nil && ctx.Err() == nil {
		f.config.Failed(err)
	}
}

func (f *Follower) wait(ctx context.Context, failures int) error {
	t := time.NewTimer(f.config.Delay(failures))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
