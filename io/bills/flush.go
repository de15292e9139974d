package bills

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// Flush writes the tail of this instance to the store and returns once the tail is empty.
func (b *Biller) Flush(ctx context.Context) error {
	select {
	case b.flushSlot <- struct{}{}:
		defer func() { <-b.flushSlot }()
	case <-ctx.Done():
		return fmt.Errorf("wait for the running flush: %w", ctx.Err())
	}
	for {
		b.mu.Lock()
		tail := b.tail
		b.mu.Unlock()
		if tail.Len() == 0 {
			return nil
		}
		last, err := b.writeSegment(ctx, tail.Segment(b.config.MaxSegmentBytes))
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.tail = b.tail.WithFlushed(last)
		b.notifyProgress()
		b.mu.Unlock()
	}
}

// flushEarly starts a flush without waiting for the flush interval, because too few holders have
// the bills. The flush is repeated until the tail is empty or a flush fails. Bills that are
// appended during a flush go into its next segment.
func (b *Biller) flushEarly() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.flushingEarly {
		return
	}
	b.flushingEarly = true
	b.background.Go(func() {
		for {
			err := b.Flush(b.ctx)
			b.mu.Lock()
			b.flushingEarly = err == nil && b.tail.Len() > 0
			again := b.flushingEarly
			b.mu.Unlock()
			if !again {
				return
			}
		}
	})
}

// writeSegment creates the segment and returns the last sequence number of the segment that is now
// stored under its key. That may be another writer's segment, which serves as well: the owner's
// entry with a given sequence number is the same, whichever instance writes it.
func (b *Biller) writeSegment(ctx context.Context, s ledger.Segment) (int64, error) {
	body, err := encodeSegment(s)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	_, err = b.config.Store.Swap(ctx, plat.Swap{Key: segmentKey(s.Owner, s.First()), Value: body})
	var conflict plat.Conflict
	if !errors.As(err, &conflict) {
		if err != nil {
			return 0, fmt.Errorf("write segment that starts at sequence number %d: %w", s.First(), err)
		}
		return s.Last(), nil
	}
	stored, err := decodeSegment(conflict.Current)
	if err != nil {
		return 0, err
	}
	if stored.Owner != s.Owner || stored.First() != s.First() {
		return 0, fmt.Errorf("segment %s does not match its key: it starts at sequence number %d or has another owner",
			conflict.Current.Key, stored.First())
	}
	return stored.Last(), nil
}

// HandOver writes the copies that this instance holds for others to the store, before it leaves. It doesn't
// wait until an owner is known to be lost: the copies may be the last ones, and an owner that still runs
// continues after the segments that it finds in the store.
func (b *Biller) HandOver(ctx context.Context) error {
	b.mu.Lock()
	var tails []ledger.Tail
	for _, held := range b.heldTails {
		tails = append(tails, held.tail)
	}
	b.mu.Unlock()
	return b.writeTails(ctx, tails)
}

// takeOverTails writes the orphaned tails to the store.
func (b *Biller) takeOverTails(ctx context.Context) error {
	return b.writeTails(ctx, b.orphanedTails())
}

// writeTails writes each tail to the store, also if another one fails.
func (b *Biller) writeTails(ctx context.Context, tails []ledger.Tail) error {
	var failed error
	for _, t := range tails {
		if err := b.takeOver(ctx, t); err != nil {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// orphanedTails marks the held tails that need takeover as orphans and returns all orphans.
func (b *Biller) orphanedTails() []ledger.Tail {
	b.mu.Lock()
	defer b.mu.Unlock()
	var orphans []ledger.Tail
	for id, held := range b.heldTails {
		held.orphan = held.orphan || b.config.NeedsTakeover(id.Instance()) || b.isSuperseded(id)
		b.heldTails[id] = held
		if held.orphan {
			orphans = append(orphans, held.tail)
		}
	}
	return orphans
}

// isSuperseded reports whether a later process of the same instance sends its bills; it is called with the
// lock held.
func (b *Biller) isSuperseded(chain value.ChainID) bool {
	for other := range b.heldTails {
		if chain.Precedes(other) {
			return true
		}
	}
	return false
}

// takeOver writes the part of the tail that is not yet in the store, and then drops the tail.
func (b *Biller) takeOver(ctx context.Context, t ledger.Tail) error {
	last, err := b.lastStored(ctx, t.Owner())
	if err != nil {
		return err
	}
	t = t.WithFlushed(last)
	for t.Len() > 0 {
		last, err := b.writeSegment(ctx, t.Segment(b.config.MaxSegmentBytes))
		if err != nil {
			return err
		}
		t = t.WithFlushed(last)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// The owner may still be running, and may have sent further entries in the meantime.
	if b.heldTails[t.Owner()].tail.Last() <= t.Flushed() {
		delete(b.heldTails, t.Owner())
	}
	return nil
}

// lastStored returns the last sequence number of the owner's chain in the store, or zero if there
// is no chain.
func (b *Biller) lastStored(ctx context.Context, owner value.ChainID) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
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

// ReadSegments returns the segments of all instances that are in the store.
func ReadSegments(ctx context.Context, r plat.Reader) ([]ledger.Segment, error) {
	l, err := r.List(ctx, storePrefix)
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
