package plat

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"endivehitch/core/policy"
	"endivehitch/io/clock"
)

// LimitedStoreConfig configures a LimitedStore.
type LimitedStoreConfig struct {
	Store Store
	// ReadsPerSecond and WritesPerSecond are the calls per second that this instance may make; a watch
	// counts as one read when it opens.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Burst is the number of reads, writes and retries that may each be made at once after a pause.
	Burst int
	// MaxQueue is the number of calls that may wait for the rate limit; further calls are rejected.
	MaxQueue int
	// MaxWatches is the number of watches that may be open at once.
	MaxWatches int
	// Timeout bounds each attempt of a call, but not a watch.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of a read, and those of a change whose answer was lost.
	MaxAttempts int
	// RetriesPerSecond is the number of retries of reads per second, over all callers.
	RetriesPerSecond float64
	Backoff          policy.Backoff
	Seed             uint64
}

// Throttled is the error of a call that was rejected before it was made.
type Throttled struct {
	Reason string
}

// Error states the reason.
func (t Throttled) Error() string {
	return "call not made: " + t.Reason
}

// Is reports whether the target is ErrUnavailable, since a call that was not made had no effect.
func (t Throttled) Is(target error) bool {
	return target == ErrUnavailable
}

// Usage counts the calls that a LimitedStore has made to its store, and those that it
// coalesced or rejected.
type Usage struct {
	Reads   int64
	Writes  int64
	Watches int64
	// OpenWatches is the number of watches that are open now.
	OpenWatches int64
	// Coalesced is the number of reads that shared the call of another one in flight.
	Coalesced int64
	// Retries is the number of times that a read was retried.
	Retries int64
	// Throttled is the number of calls that were rejected.
	Throttled int64
}

// LimitedStore is a store client that limits the rate of calls, coalesces identical reads, retries
// reads, and settles changes whose answers were lost.
//
// To settle a swap, it reads the entry back; an entry with the swap's value means that the swap
// took effect. So each change must write a unique value, for instance one with an identifier of the
// change.
type LimitedStore struct {
	config   LimitedStoreConfig
	reads    *rate.Limiter
	writes   *rate.Limiter
	retries  *rate.Limiter
	flights  flightGroup
	queued   atomic.Int64
	usage    policy.Cell[Usage]
	rndMutex sync.Mutex
	rnd      *rand.Rand
}

// NewLimitedStore returns a client over the store, or an error that names the missing or invalid
// fields of the configuration.
func NewLimitedStore(c LimitedStoreConfig) (*LimitedStore, error) {
	switch {
	case c.Store == nil:
		return nil, errors.New("limited store: Store is missing")
	case c.ReadsPerSecond <= 0 || c.WritesPerSecond <= 0 || c.Burst < 1:
		return nil, errors.New("limited store: ReadsPerSecond, WritesPerSecond and Burst must be positive")
	case c.MaxQueue < 1 || c.MaxAttempts < 1 || c.Timeout <= 0:
		return nil, errors.New("limited store: MaxQueue, MaxAttempts and Timeout must be positive")
	}
	return &LimitedStore{
		config:  c,
		reads:   rate.NewLimiter(rate.Limit(c.ReadsPerSecond), c.Burst),
		writes:  rate.NewLimiter(rate.Limit(c.WritesPerSecond), c.Burst),
		retries: rate.NewLimiter(rate.Limit(c.RetriesPerSecond), c.Burst),
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}, nil
}

// Usage returns the counts so far.
func (l *LimitedStore) Usage() Usage {
	return l.usage.Get()
}

func (l *LimitedStore) updateUsage(apply func(Usage) Usage) {
	l.usage.Update(apply)
}

// admit waits in the bounded queue until the limiter lets the call pass. It returns a Throttled
// error if the queue is full or if the wait would outlast the context.
func (l *LimitedStore) admit(ctx context.Context, limiter *rate.Limiter) error {
	defer l.queued.Add(-1)
	if l.queued.Add(1) > int64(l.config.MaxQueue) {
		return l.reject("queue is full")
	}
	if err := limiter.Wait(ctx); err != nil {
		return l.reject(err.Error())
	}
	return nil
}

// reject counts a call that was not made and returns its error.
func (l *LimitedStore) reject(reason string) error {
	l.updateUsage(func(u Usage) Usage { u.Throttled++; return u })
	return Throttled{Reason: reason}
}

// waitBackoff waits for the backoff that follows the given number of failed attempts.
func (l *LimitedStore) waitBackoff(ctx context.Context, failed int) error {
	l.rndMutex.Lock()
	d := l.config.Backoff.WithFailures(failed - 1).Delay(l.rnd)
	l.rndMutex.Unlock()
	if err := clock.Wait(ctx, d); err != nil {
		return fmt.Errorf("wait for the next attempt: %w", err)
	}
	return nil
}
