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

// appendMethod is the method by which holders take copies.
var appendMethod = peer.Method[wireCopy, wireHave]{Name: "Bills.Append"}

// wireCopy carries entries of a tail to a holder.
type wireCopy struct {
	Owner value.InstanceID
	// Flushed is the last sequence number that the owner knows to be in the store.
	Flushed int64
	Entries []ledger.Entry
}

// wireHave is the holder's reply: the last sequence number that it has without a gap.
type wireHave struct {
	Have int64
}

var errHeldFull = errors.New("holder has no room for more entries of the owner")

// nth returns the nth highest number, or zero where there are fewer.
func nth(list []int64, n int) int64 {
	if len(list) < n {
		return 0
	}
	slices.Sort(list)
	return list[len(list)-n]
}

// send lets each holder's sender go on, forgets holders that are no longer to have copies, and
// returns how many holders there are.
func (b *Biller) send() int {
	if b.config.Caller == nil {
		return 0
	}
	holders := b.config.Holders()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0
	}
	for id := range b.links {
		if !slices.ContainsFunc(holders, func(i value.Instance) bool { return i.ID == id }) {
			delete(b.links, id)
		}
	}
	for _, h := range holders {
		l, ok := b.links[h.ID]
		if !ok {
			l = &link{to: h}
			b.links[h.ID] = l
		}
		if !l.sending && l.acked < b.tail.Last() {
			l.sending = true
			b.work.Go(func() { b.feed(l) })
		}
	}
	return len(b.links)
}

// feed sends the tail to the holder until it has all of it, or until a try fails; what arrives
// during a call goes with the next. After a failure the next bill or flush tries again.
func (b *Biller) feed(l *link) {
	for {
		c, more := b.next(l)
		if !more {
			return
		}
		have, err := b.copyTo(l.to, c)
		if err != nil || have == l.acked {
			b.flushSoon()
			b.rest(l)
			return
		}
		b.mu.Lock()
		l.acked = have
		b.advanced()
		b.mu.Unlock()
	}
}

// next returns what the holder lacks; where that is nothing, the sender's place is given up.
func (b *Biller) next(l *link) (wireCopy, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.acked >= b.tail.Last() || b.links[l.to.ID] != l {
		l.sending = false
		return wireCopy{}, false
	}
	entries := b.tail.Since(l.acked, b.config.SegmentBytes)
	return wireCopy{Owner: b.config.Self.ID, Flushed: b.tail.Flushed(), Entries: entries}, true
}

// rest waits before the holder may be tried again.
func (b *Biller) rest(l *link) {
	b.mu.Lock()
	d := b.config.Backoff.Delay(b.rnd)
	b.mu.Unlock()
	clock.Passed(b.ctx, d)
	b.mu.Lock()
	l.sending = false
	b.mu.Unlock()
	if b.Unsafe() > 0 {
		b.send()
	}
}

func (b *Biller) copyTo(to value.Instance, c wireCopy) (int64, error) {
	ctx, cancel := context.WithTimeout(b.ctx, b.config.Timeout)
	defer cancel()
	reply, err := appendMethod.Call(ctx, b.config.Caller, to, c)
	if err != nil {
		return 0, fmt.Errorf("copy bills to %s: %w", to.ID, err)
	}
	return reply.Have, nil
}

// Register offers this instance as a holder of copies.
func (b *Biller) Register(r peer.Registrar) error {
	if err := appendMethod.Serve(r, b.hold); err != nil {
		return fmt.Errorf("offer to hold bills: %w", err)
	}
	return nil
}

// hold takes the entries that follow what is held already, and replies with how far that reaches.
func (b *Biller) hold(c wireCopy) (wireHave, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	had, ok := b.held[c.Owner]
	if !ok {
		had.tail = ledger.NewTail(c.Owner, c.Flushed)
	}
	t := had.tail.WithFlushed(c.Flushed)
	if t.Len()+len(c.Entries) > b.config.HeldEntries {
		return wireHave{}, errHeldFull
	}
	t = t.WithCopies(c.Entries)
	b.held[c.Owner] = copies{tail: t}
	return wireHave{Have: t.Last()}, nil
}
