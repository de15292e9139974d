package stage

import (
	"context"
	"fmt"
	"strings"

	"endivehitch/io/plat"
)

// Follow installs what the key-value service keeps and each change after it, until the context ends.
func (k *Keeper) Follow(ctx context.Context) error {
	failures := 0
	for {
		read, err := k.watch(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			k.config.Failed(err)
		}
		failures++
		if read {
			failures = 1
		}
		if !wait(ctx, k.config.Delay(failures)) {
			return nil
		}
	}
}

// watch reports whether it could read; it returns when the watch breaks off.
func (k *Keeper) watch(ctx context.Context) (bool, error) {
	root := k.progress.prefix
	listing, err := k.config.Store.List(ctx, root)
	if err != nil {
		return false, fmt.Errorf("read roll-outs: %w", err)
	}
	for _, e := range listing.Entries {
		k.install(ctx, e)
	}
	events, err := k.config.Store.Watch(ctx, root, listing.Revision+1)
	if err != nil {
		return true, fmt.Errorf("watch roll-outs: %w", err)
	}
	for e := range events {
		if !e.Deleted {
			k.install(ctx, e.Entry)
		}
	}
	return true, nil
}

func (k *Keeper) install(ctx context.Context, e plat.Entry) {
	var err error
	switch {
	case strings.HasPrefix(e.Key, k.withdrawn.prefix):
		err = install(ctx, k.config, k.withdrawn, e)
	default:
		err = install(ctx, k.config, k.progress, e)
	}
	if err != nil && ctx.Err() == nil {
		k.config.Failed(err)
	}
}

func install[T any](ctx context.Context, c KeeperConfig, s shelf[T], e plat.Entry) error {
	v, err := s.decode(e.Value)
	if err != nil {
		return fmt.Errorf("read %s: %w", e.Key, err)
	}
	if err := c.Do(ctx, s.install(v)); err != nil {
		return fmt.Errorf("install %s: %w", e.Key, err)
	}
	return nil
}
