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
	// Install takes each document that the key-value service keeps; one may come more than once.
	Install func(context.Context, value.Accepted) error
	// Failed takes the errors after which the follower goes on.
	Failed func(error)
	// Delay returns how long to wait before another attempt after so many failures in a row.
	Delay func(failures int) time.Duration
}

// Follower reads an environment's document and its changes.
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
	key := DocumentKey(f.config.Environment)
	listing, err := f.config.From.List(ctx, key)
	if err != nil {
		return false, fmt.Errorf("read document: %w", err)
	}
	for _, e := range listing.Entries {
		f.install(ctx, key, e)
	}
	events, err := f.config.From.Watch(ctx, key, listing.Revision+1)
	if err != nil {
		return true, fmt.Errorf("watch document: %w", err)
	}
	for e := range events {
		if !e.Deleted {
			f.install(ctx, key, e.Entry)
		}
	}
	return true, nil
}

// install keeps the document in force where a kept one can't be read.
func (f *Follower) install(ctx context.Context, key string, e plat.Entry) {
	if e.Key != key {
		return
	}
	record, err := DecodeRecord(e)
	if err != nil {
		f.config.Failed(err)
		return
	}
	accepted, err := record.Accepted()
	if err != nil {
		f.config.Failed(fmt.Errorf("revision %d: %w", e.Revision, err))
		return
	}
	if err := f.config.Install(ctx, accepted); err != nil && ctx.Err() == nil {
		f.config.Failed(fmt.Errorf("install revision %d: %w", e.Revision, err))
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
