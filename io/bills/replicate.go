package bills

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/peer"
)

// appendMethod is the RPC by which an instance sends entries of its tail to a holder.
var appendMethod = peer.Method[wireCopy, wireHave]{Name: "Bills.Append"}

// wireCopy holds entries of the owner's tail for a holder.
type wireCopy struct {
	Owner value.ChainID
	// Flushed is the last sequence number that the owner knows to be in the store.
	Flushed int64
	Entries []ledger.Entry
}

// wireHave is the holder's reply.
type wireHave struct {
	// Have is the last sequence number up to which the holder has the tail without a gap.
	Have int64
}

var errHeldTailFull = errors.New("holder's copy of the tail would exceed its maximum number of entries")

// nthHighest returns the nth highest number, or zero if there are fewer than n; it sorts the list.
func nthHighest(list []int64, n int) int64 {
	if len(list) < n {
		return 0
	}
	slices.Sort(list)
	return list[len(list)-n]
}

// startSenders starts sending to each holder that lacks entries, drops the state of instances that
// are no longer holders, and returns the number of holders.
func (b *Biller) startSenders() int {
	if b.config.Caller == nil {
		return 0
	}
	instances := b.config.Holders()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0
	}
	for id := range b.holders {
		if !slices.ContainsFunc(instances, func(i value.Instance) bool { return i.ID == id }) {
			delete(b.holders, id)
		}
	}
	for _, i := range instances {
		h, ok := b.holders[i.ID]
		if !ok {
			h = &holder{instance: i}
			b.holders[i.ID] = h
		}
		if !h.sending && h.acked < b.tail.Last() {
			h.sending = true
			b.background.Go(func() { b.sendTail(h) })
		}
	}
	return len(b.holders)
}

// sendTail sends entries to the holder until it has the complete tail or a call fails. Entries that
// are appended during a call are sent by the next one.
//
// After a failed call, or one after which the holder has no more entries than before, it starts an
// early flush, since the bills may otherwise not become safe, and pauses the sender.
func (b *Biller) sendTail(h *holder) {
	for {
		c, more := b.nextCopy(h)
		if !more {
			return
		}
		have, err := b.sendCopy(h.instance, c)
		if err != nil || have == h.acked {
			b.flushEarly()
			b.pauseSender(h)
			return
		}
		b.mu.Lock()
		h.acked = have
		b.notifyProgress()
		b.mu.Unlock()
	}
}

// nextCopy returns the next entries that the holder lacks. If there are none, or the instance is no
// longer a holder, it marks the sender as stopped and returns false.
func (b *Biller) nextCopy(h *holder) (wireCopy, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.acked >= b.tail.Last() || b.holders[h.instance.ID] != h {
		h.sending = false
		return wireCopy{}, false
	}
	entries := b.tail.Since(h.acked, b.config.MaxSegmentBytes)
	return wireCopy{Owner: b.tail.Owner(), Flushed: b.tail.Flushed(), Entries: entries}, true
}

// pauseSender waits for the backoff delay and marks the sender as stopped. Senders then restart at
// once if there are unsafe bills, and otherwise with the next bill or flush.
func (b *Biller) pauseSender(h *holder) {
	b.mu.Lock()
	d := b.config.Backoff.Delay(b.rnd)
	b.mu.Unlock()
	clock.WaitFully(b.ctx, d)
	b.mu.Lock()
	h.sending = false
	b.mu.Unlock()
	if b.UnsafeCount() > 0 {
		b.startSenders()
	}
}

// sendCopy sends the entries to the holder and returns its last sequence number.
func (b *Biller) sendCopy(to value.Instance, c wireCopy) (int64, error) {
	ctx, cancel := context.WithTimeout(b.ctx, b.config.CallTimeout)
	defer cancel()
	reply, err := appendMethod.Call(ctx, b.config.Caller, to, c)
	if err != nil {
		return 0, fmt.Errorf("copy bills to %s: %w", to.ID, err)
	}
	return reply.Have, nil
}

// Register makes this instance available to others as a holder of copies.
func (b *Biller) Register(r peer.Registrar) error {
	if err := appendMethod.Serve(r, b.handleAppend); err != nil {
		return fmt.Errorf("register RPC for copies of bills: %w", err)
	}
	return nil
}

// handleAppend appends to the held tail the entries that follow it without a gap, and replies with
// the tail's last sequence number. Entries that the owner has flushed are removed.
func (b *Biller) handleAppend(c wireCopy) (wireHave, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.heldTails[c.Owner]
	if !ok {
		held.tail = ledger.NewTail(c.Owner, c.Flushed)
	}
	t := held.tail.WithFlushed(c.Flushed)
	if t.Len()+len(c.Entries) > b.config.MaxHeldEntries {
		return wireHave{}, errHeldTailFull
	}
	t = t.WithCopies(c.Entries)
	b.heldTails[c.Owner] = heldTail{tail: t}
	return wireHave{Have: t.Last()}, nil
}
