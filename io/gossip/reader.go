package gossip

import (
	"context"
	"fmt"
	"sync"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/io/clock"
	"endivehitch/io/plat"
)

// readTimeout bounds one read of the key-value service.
const readTimeout = 5 * time.Second

// watchWhenReader follows the service for as long as the instance is one of its failure domain's readers.
func (s *spread) watchWhenReader(ctx context.Context) error {
	// An instance that knows of no others yet takes itself for a reader.
	select {
	case <-s.listed:
	case <-ctx.Done():
		return ctx.Err()
	}
	stop := func() {}
	defer func() { stop() }()
	watching := false
	for {
		reads := query.IsConfigReader(s.Control.Snapshot(), s.Timing)
		if reads && !watching {
			stop = s.startWatch(ctx)
		}
		if !reads && watching {
			stop()
		}
		watching = reads
		if !clock.Passed(ctx, s.Timing.Period) {
			return ctx.Err()
		}
	}
}

// startWatch returns a function that ends the watch and waits for its end.
func (s *spread) startWatch(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var ended sync.WaitGroup
	ended.Go(func() { s.watch(ctx) })
	return func() {
		cancel()
		ended.Wait()
	}
}

// watch reads and follows the service until the context ends.
func (s *spread) watch(ctx context.Context) {
	backoff := policy.Backoff{First: backoffFirst, Limit: backoffLimit}
	for ctx.Err() == nil {
		begun := time.Now()
		if err := s.follow(ctx); err == nil && time.Since(begun) > backoffLimit {
			backoff = backoff.WithSuccess()
		}
		clock.Passed(ctx, backoff.Delay(s.rnd))
		backoff = backoff.WithFailure()
	}
}

// follow returns nil once the watch breaks off.
func (s *spread) follow(ctx context.Context) error {
	revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	events, err := s.Store.Watch(ctx, s.Prefix, revision+1)
	if err != nil {
		return fmt.Errorf("watch configuration: %w", err)
	}
	for e := range events {
		if e.Deleted {
			// What is in force stays so until something newer is accepted.
			continue
		}
		_ = s.offer(ctx, []plat.Entry{e.Entry})
	}
	return nil
}

// read takes over what the service holds and returns the service's revision.
func (s *spread) read(ctx context.Context) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := s.Store.List(bounded, s.Prefix)
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	if have := s.held.Get().revision; listing.Revision < have {
		// The command only leaves a log line: the service answers from an older state.
		if err := s.Control.Do(ctx, cmds.InstallRevision{Revision: listing.Revision}); err != nil {
			return 0, fmt.Errorf("report old state: %w", err)
		}
		// Its next changes are followed from here; older ones are ignored one by one.
		return listing.Revision, nil
	}
	// Entries that can't be decoded are reported, and the watch goes on to their successors.
	_ = s.offer(ctx, listing.Entries)
	return listing.Revision, nil
}
