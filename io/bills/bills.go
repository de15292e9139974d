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
	Self value.Instance
	// Started is when the process started. An identifier may be used again by a later process, whose
	// bills are a chain of their own.
	Started time.Time
	Store   plat.Store
	// Caller sends copies to the holders. Without it, a bill is safe only once it is in the store.
	Caller peer.Caller
	// Holders returns the instances that are to store copies. They stay the same as long as the fleet
	// does.
	Holders func() []value.Instance
	// NeedsTakeover reports whether the holders should write the rest of the instance's chain, because
	// the instance has departed or has been leaving for too long.
	NeedsTakeover func(value.InstanceID) bool
	// MinCopies is the number of holders that must have a bill before Biller.StoreBill returns.
	MinCopies int
	// FlushInterval returns the time between two flushes; it may change with the size of the fleet.
	FlushInterval func() time.Duration
	// ReplicationTimeout limits how long Biller.StoreBill waits until a bill is safe.
	ReplicationTimeout time.Duration
	// CallTimeout limits each call to a holder or the store.
	CallTimeout time.Duration
	// MaxBacklog is the maximum number of entries in the tail of this instance. While it is reached,
	// further bills are refused.
	MaxBacklog int
	// MaxSegmentBytes is the maximum size of a segment and of a message to a holder.
	MaxSegmentBytes int
	// MaxHeldEntries is the maximum number of entries held for each other instance.
	MaxHeldEntries int
	Backoff        policy.Backoff
	Seed           uint64
}

func (c Config) check() error {
	switch {
	case c.Self.ID == "":
		return errors.New("bills: instance has no identifier")
	case c.Started.IsZero():
		return errors.New("bills: start of the process is not set")
	case c.Store == nil:
		return errors.New("bills: no store")
	case c.Holders == nil || c.NeedsTakeover == nil:
		return errors.New("bills: functions Holders and NeedsTakeover are required")
	case c.MinCopies < 1 || c.MaxBacklog < 1 || c.MaxHeldEntries < 1:
		return errors.New("bills: MinCopies, MaxBacklog and MaxHeldEntries must be positive")
	case c.FlushInterval == nil || c.ReplicationTimeout <= 0 || c.CallTimeout <= 0:
		return errors.New("bills: FlushInterval is required, and ReplicationTimeout and CallTimeout must be positive")
	case c.MaxSegmentBytes < 1 || c.MaxSegmentBytes > plat.ValueLimit:
		return fmt.Errorf("bills: segment size of %d bytes is out of range", c.MaxSegmentBytes)
	}
	return nil
}

// Biller implements flow.Biller with copies at holders and segments in the key-value service.
type Biller struct {
	config Config
	// background counts the goroutines that send copies or flush early.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	// flushSlot has a capacity of one, so that only one flush at a time writes segments of the tail.
	flushSlot chan struct{}

	mu        sync.Mutex
	closed    bool
	tail      ledger.Tail
	holders   map[value.InstanceID]*holder
	heldTails map[value.ChainID]heldTail
	// progress is closed and replaced whenever more of the tail may have become safe.
	progress chan struct{}
	// flushingEarly is set while a flush runs that did not wait for the flush interval.
	flushingEarly bool
	rnd           *rand.Rand
}

// holder is the state of one holder's copy of this instance's tail.
type holder struct {
	instance value.Instance
	// acked is the last sequence number that the holder has acknowledged.
	acked int64
	// sending is set while a goroutine sends to the holder, or waits before it sends again.
	sending bool
}

// heldTail is the copy of another instance's tail, of which this instance is a holder.
//
// Once it needs takeover, it stays an orphan until the owner sends further entries: the membership
// list removes departed instances after a while, and the store may be unreachable for longer.
type heldTail struct {
	tail   ledger.Tail
	orphan bool
}

// New returns a biller, or an error that names what the configuration lacks.
func New(c Config) (*Biller, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	b := &Biller{
		config:    c,
		tail:      ledger.NewTail(value.NewChainID(c.Self.ID, c.Started), 0),
		holders:   make(map[value.InstanceID]*holder),
		heldTails: make(map[value.ChainID]heldTail),
		progress:  make(chan struct{}),
		flushSlot: make(chan struct{}, 1),
		rnd:       rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b, nil
}

// Run flushes the tail of this instance and takes over orphaned tails until the context ends.
func (b *Biller) Run(ctx context.Context) {
	// The first delay is random, so that the instances don't write at the same times.
	delay := b.randomDelay(b.config.FlushInterval())
	for {
		if !clock.WaitFully(ctx, delay) {
			return
		}
		// Entries that a failed flush did not write are written by the next flush.
		_ = b.Flush(ctx)
		_ = b.takeOverTails(ctx)
		b.startSenders()
		delay = b.config.FlushInterval()
	}
}

// Close stops sending copies and early flushes, and waits for them to end. It does not flush;
// entries that are safe survive at their holders or in the store.
func (b *Biller) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.background.Wait()
}

// StoreBill stores the bill and returns once it survives the loss of this instance; the error is a
// value.Refusal.
//
// A bill that is not safe when the wait ends stays in the tail and is still stored later, because
// its request has run. Only a bill that finds the backlog full is not added to the tail.
func (b *Biller) StoreBill(ctx context.Context, bill value.Bill) error {
	sequence, err := b.addToTail(bill)
	if err != nil {
		return err
	}
	if b.startSenders() < b.config.MinCopies {
		b.flushEarly()
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.ReplicationTimeout)
	defer cancel()
	for {
		safe, progress := b.lastSafe()
		if safe >= sequence {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return newRefusal("neither holders in other failure domains nor the store took the bill in time")
		}
	}
}

// UnsafeCount returns the number of bills that would be lost with this instance.
func (b *Biller) UnsafeCount() int {
	safe, _ := b.lastSafe()
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(max(b.tail.Last()-safe, 0))
}

// HasCapacity reports whether the backlog has capacity for a further bill. Otherwise new requests
// must be refused.
func (b *Biller) HasCapacity() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tail.Len() < b.config.MaxBacklog
}

// newRefusal returns the refusal of a request whose bill could not be stored.
func newRefusal(detail string) value.Refusal {
	return value.Refusal{Reason: value.ReasonBillNotStored, Detail: detail}
}

// addToTail returns the bill's sequence number. A request that has been billed recently, as defined
// by Tail.Find, keeps its number and its first bill.
func (b *Biller) addToTail(bill value.Bill) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, ok := b.tail.Find(bill.Request); ok {
		return n, nil
	}
	if b.tail.Len() >= b.config.MaxBacklog {
		return 0, newRefusal("too many bills wait to be kept")
	}
	b.tail = b.tail.With(bill)
	return b.tail.Last(), nil
}

// lastSafe returns the last sequence number up to which all bills survive the loss of this
// instance, and a channel that is closed once that number may have grown.
func (b *Biller) lastSafe() (int64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var acked []int64
	for _, h := range b.holders {
		acked = append(acked, h.acked)
	}
	return max(b.tail.Flushed(), nthHighest(acked, b.config.MinCopies)), b.progress
}

// notifyProgress wakes the goroutines that wait for bills to become safe; it is called with the
// lock held.
func (b *Biller) notifyProgress() {
	close(b.progress)
	b.progress = make(chan struct{})
}

// randomDelay returns a random duration of up to d.
func (b *Biller) randomDelay(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rnd.Int64N(int64(d))) + 1
}
