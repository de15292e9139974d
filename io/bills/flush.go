package bills

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// Flush writes the own tail to the store and returns once all of it is there.
func (b *Biller) Flush(ctx context.Context) error {
	select {
	case b.flushing <- struct{}{}:
		defer func() { <-b.flushing }()
	case <-ctx.Done():
		return fmt.Errorf("await the flush under way: %w", ctx.Err())
	}
	for {
		b.mu.Lock()
		tail := b.tail
		b.mu.Unlock()
		if tail.Len() == 0 {
			return nil
		}
		last, err := b.write(ctx, tail.Segment(b.config.SegmentBytes))
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.tail = b.tail.WithFlushed(last)
		b.advanced()
		b.mu.Unlock()
	}
}

// flushSoon starts a flush at once, for bills that holders don't take; bills that arrive during a
// flush go into its next segment.
func (b *Biller) flushSoon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.hurrying {
		return
	}
	b.hurrying = true
	b.work.Go(func() {
		for {
			err := b.Flush(b.ctx)
			b.mu.Lock()
			b.hurrying = err == nil && b.tail.Len() > 0
			again := b.hurrying
			b.mu.Unlock()
			if !again {
				return
			}
		}
	})
}

// write creates the segment and returns the last sequence number of the one that now stands under
// its key. Another writer's segment there is as good: an owner's entry of one number is the same
// whoever writes it.
func (b *Biller) write(ctx context.Context, s ledger.Segment) (int64, error) {
	body, err := encodeSegment(s)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.Timeout)
	defer cancel()
	_, err = b.config.Store.Swap(ctx, plat.Swap{Key: segmentKey(s.Owner, s.First()), Value: body})
	var conflict plat.Conflict
	if !errors.As(err, &conflict) {
		if err != nil {
			return 0, fmt.Errorf("write bills from %d on: %w", s.First(), err)
		}
		return s.Last(), nil
	}
	standing, err := decodeSegment(conflict.Present)
	if err != nil {
		return 0, err
	}
	if standing.Owner != s.Owner || standing.First() != s.First() {
		return 0, fmt.Errorf("segment %s holds entries from %d on", conflict.Present.Key, standing.First())
	}
	return standing.Last(), nil
}

// adopt writes the tails of instances that are gone.
func (b *Biller) adopt(ctx context.Context) error {
	var failed error
	for _, t := range b.orphans() {
		if err := b.finish(ctx, t); err != nil {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

func (b *Biller) orphans() []ledger.Tail {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []ledger.Tail
	for id, c := range b.held {
		c.orphan = c.orphan || b.config.Gone(id)
		b.held[id] = c
		if c.orphan {
			list = append(list, c.tail)
		}
	}
	return list
}

// finish writes what the store lacks of the tail and forgets it.
func (b *Biller) finish(ctx context.Context, t ledger.Tail) error {
	last, err := b.lastFlushed(ctx, t.Owner())
	if err != nil {
		return err
	}
	t = t.WithFlushed(last)
	for t.Len() > 0 {
		last, err := b.write(ctx, t.Segment(b.config.SegmentBytes))
		if err != nil {
			return err
		}
		t = t.WithFlushed(last)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// The owner may have been taken for gone too early and have sent more meanwhile.
	if b.held[t.Owner()].tail.Last() <= t.Flushed() {
		delete(b.held, t.Owner())
	}
	return nil
}

// lastFlushed returns the end of the owner's chain in the store.
func (b *Biller) lastFlushed(ctx context.Context, owner value.InstanceID) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, b.config.Timeout)
	defer cancel()
	l, err := b.config.Store.List(ctx, ownerPrefix(owner))
	if err != nil {
		return 0, fmt.Errorf("read chain of %s: %w", owner, err)
	}
	if len(l.Entries) == 0 {
		return 0, nil
	}
	s, err := decodeSegment(l.Entries[len(l.Entries)-1])
	if err != nil {
		return 0, err
	}
	return s.Last(), nil
}

// Read returns every segment in the store.
func Read(ctx context.Context, r plat.Reader) ([]ledger.Segment, error) {
	l, err := r.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("read bills: %w", err)
	}
	segments := make([]ledger.Segment, len(l.Entries))
	for i, e := range l.Entries {
		if segments[i], err = decodeSegment(e); err != nil {
			return nil, err
		}
	}
	return segments, nil
}
