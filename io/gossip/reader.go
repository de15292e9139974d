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

// readTimeout bounds one listing of the configuration in the key-value service.
const readTimeout = 5 * time.Second

// watchWhileReader watches the key-value service while the instance is one of its failure domain's
// readers.
func (d *disseminator) watchWhileReader(ctx context.Context) error {
	// An instance that knows of no others counts as a reader, so it first waits for the first attempt
	// to read the instance list.
	select {
	case <-d.listRead:
	case <-ctx.Done():
		return ctx.Err()
	}
	stop := func() {}
	defer func() { stop() }()
	watching := false
	for {
		isReader := query.IsConfigReader(d.Control.Snapshot(), d.Timing)
		if isReader && !watching {
			stop = d.startWatch(ctx)
		}
		if !isReader && watching {
			stop()
		}
		watching = isReader
		if !clock.WaitFully(ctx, d.Timing.Period) {
			return ctx.Err()
		}
	}
}

// startWatch starts the watch in the background and returns a function that stops it and waits for
// its end.
func (d *disseminator) startWatch(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var ended sync.WaitGroup
	ended.Go(func() { d.keepWatching(ctx) })
	return func() {
		cancel()
		ended.Wait()
	}
}

// keepWatching reads and watches the key-value service until the context ends; it retries with
// backoff. Only a watch that lasted longer than the maximum backoff resets the backoff.
func (d *disseminator) keepWatching(ctx context.Context) {
	backoff := policy.Backoff{InitialDelay: initialBackoff, MaxDelay: maxBackoff}
	for ctx.Err() == nil {
		start := time.Now()
		if err := d.followStore(ctx); err == nil && time.Since(start) > maxBackoff {
			backoff = backoff.WithSuccess()
		}
		clock.WaitFully(ctx, backoff.Delay(d.rnd))
		backoff = backoff.WithFailure()
	}
}

// followStore reads the configuration and puts later changes in force; it returns nil when the
// watch ends.
func (d *disseminator) followStore(ctx context.Context) error {
	revision, err := d.readStore(ctx)
	if err != nil {
		return err
	}
	events, err := d.Store.Watch(ctx, d.Prefix, revision+1)
	if err != nil {
		return fmt.Errorf("watch configuration: %w", err)
	}
	for e := range events {
		if e.Deleted {
			// A deletion does not revert anything: an entry stays in force until a newer one replaces it.
			continue
		}
		_ = d.installEntries(ctx, []plat.Entry{e.Entry})
	}
	return nil
}

// readStore puts the entries in the key-value service in force and returns the service's revision.
func (d *disseminator) readStore(ctx context.Context) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := d.Store.List(bounded, d.Prefix)
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	if installed := d.current.Get().revision; listing.Revision < installed {
		// The service answers from an older state than the one installed here. The command changes
		// nothing; it only records the decision to ignore the revision.
		if err := d.Control.Do(ctx, cmds.InstallRevision{Revision: listing.Revision}); err != nil {
			return 0, fmt.Errorf("record outdated read of the configuration: %w", err)
		}
		// The watch starts at the service's older revision; each entry that is not newer than the
		// installed revision is ignored as it arrives.
		return listing.Revision, nil
	}
	// The error is ignored, so that the watch goes on to newer entries. The command records entries
	// that can't be decoded as rejected.
	_ = d.installEntries(ctx, listing.Entries)
	return listing.Revision, nil
}
