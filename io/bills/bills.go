package bills

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/peer"
	"endivehitch/io/plat"
)

// Config sets up a Biller.
type Config struct {
	Self  value.Instance
	Store plat.Store
	// Caller reaches holders; without it, a bill is safe only once it is in the store.
	Caller peer.Caller
	// Holders returns the instances that are to hold copies, the same ones while the fleet stays the same.
	Holders func() []value.Instance
	// Gone reports whether an instance has left for good.
	Gone func(value.InstanceID) bool
	// Copies is how many holders must have a bill before Keep returns.
	Copies int
	// Flush returns the time between two segments of one instance; it may change with the fleet.
	Flush func() time.Duration
	// Patience bounds how long Keep waits.
	Patience time.Duration
	// Timeout bounds each call to a holder or the store.
	Timeout time.Duration
	// Backlog bounds the entries of the own tail; a full one refuses further bills.
	Backlog int
	// SegmentBytes bounds a segment and a message to a holder.
	SegmentBytes int
	// HeldEntries bounds the entries held for each other instance.
	HeldEntries int
	Backoff     policy.Backoff
	Seed        uint64
}

func (c Config) check() error {
	switch {
	case c.Self.ID == "":
		return errors.New("bills: no instance")
	case c.Store == nil:
		return errors.New("bills: no store")
	case c.Holders == nil || c.Gone == nil:
		return errors.New("bills: no holders or membership")
	case c.Copies < 1 || c.Backlog < 1 || c.HeldEntries < 1:
		return errors.New("bills: no copies, backlog or held entries")
	case c.Flush == nil || c.Patience <= 0 || c.Timeout <= 0:
		return errors.New("bills: no times")
	case c.SegmentBytes < 1 || c.SegmentBytes > plat.ValueLimit:
		return fmt.Errorf("bills: segment of %d bytes", c.SegmentBytes)
	}
	return nil
}

// Biller implements flow.Biller over holders in other failure domains and the platform's store.
type Biller struct {
	config Config
	work   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	// flushing has room for one: a flush at a time reads the tail and writes its segments.
	flushing chan struct{}

	mu     sync.Mutex
	closed bool
	tail   ledger.Tail
	links  map[value.InstanceID]*link
	held   map[value.InstanceID]copies
	// progress is closed and replaced whenever more of the tail is safe.
	progress chan struct{}
	// hurrying is set while a flush runs ahead of its time.
	hurrying bool
	rnd      *rand.Rand
}

// link is what is known of one holder's copy of the own tail.
type link struct {
	to    value.Instance
	acked int64
	// sending is set while a goroutine sends to the holder.
	sending bool
}

// copies is what is held of another instance's tail. Once its owner was seen to be gone it stays an
// orphan, since membership forgets instances while the store may be down for longer.
type copies struct {
	tail   ledger.Tail
	orphan bool
}

// New returns a biller, or an error that names what the configuration lacks.
func New(c Config) (*Biller, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	b := &Biller{
		config:   c,
		tail:     ledger.NewTail(c.Self.ID, 0),
		links:    make(map[value.InstanceID]*link),
		held:     make(map[value.InstanceID]copies),
		progress: make(chan struct{}),
		flushing: make(chan struct{}, 1),
		rnd:      rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b, nil
}

// Run flushes the own tail, and the tails of instances that are gone, until the context ends.
func (b *Biller) Run(ctx context.Context) {
	// The first delay differs between instances, so that their writes spread over time.
	next := b.jitter(b.config.Flush())
	for {
		if !clock.Passed(ctx, next) {
			return
		}
		// What a failed flush leaves is flushed by the next.
		_ = b.Flush(ctx)
		_ = b.adopt(ctx)
		b.send()
		next = b.config.Flush()
	}
}

// Close stops all sending; entries that are safe live on with their holders or in the store.
func (b *Biller) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.work.Wait()
}

// Keep returns once the bill survives the loss of this instance; the error is a value.Refusal.
//
// A bill that is refused stays in the tail and is kept later all the same: its run has taken place.
func (b *Biller) Keep(ctx context.Context, bill value.Bill) error {
	sequence, err := b.append(bill)
	if err != nil {
		return err
	}
	if b.send() < b.config.Copies {
		b.flushSoon()
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.Patience)
	defer cancel()
	for {
		safe, progress := b.safe()
		if safe >= sequence {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return refusal("neither holders in other failure domains nor the store took the bill in time")
		}
	}
}

// Unsafe returns how many bills would be lost with this instance.
func (b *Biller) Unsafe() int {
	safe, _ := b.safe()
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(max(b.tail.Last()-safe, 0))
}

// Ready reports whether a further bill would be taken; where not, new work is to be refused.
func (b *Biller) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tail.Len() < b.config.Backlog
}

func refusal(detail string) value.Refusal {
	return value.Refusal{Reason: value.ReasonBillNotStored, Detail: detail}
}

// append gives the bill its place; a request that was billed lately has its place already.
func (b *Biller) append(bill value.Bill) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, ok := b.tail.Find(bill.Request); ok {
		return n, nil
	}
	if b.tail.Len() >= b.config.Backlog {
		return 0, refusal("too many bills wait to be kept")
	}
	b.tail = b.tail.With(bill)
	return b.tail.Last(), nil
}

// safe returns the last sequence number that survives the loss of this instance, and a channel that
// is closed once that may have grown.
func (b *Biller) safe() (int64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var acked []int64
	for _, l := range b.links {
		acked = append(acked, l.acked)
	}
	return max(b.tail.Flushed(), nth(acked, b.config.Copies)), b.progress
}

// advanced is called with the lock held.
func (b *Biller) advanced() {
	close(b.progress)
	b.progress = make(chan struct{})
}

func (b *Biller) jitter(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rnd.Int64N(int64(d))) + 1
}
