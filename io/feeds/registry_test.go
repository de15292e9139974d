package feeds_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/feeds"
)

var errAnswerLost = errors.New("answer lost")

// leaseStore holds the leases and the entries written under them.
type leaseStore struct {
	mu      sync.Mutex
	leases  int64
	live    map[int64]bool
	entries map[int64]int
	// lostAnswers is how many further registrations take effect without an answer.
	lostAnswers int
}

func newLeaseStore() *leaseStore {
	return &leaseStore{live: make(map[int64]bool), entries: make(map[int64]int)}
}

func (s *leaseStore) Acquire(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	s.live[s.leases] = true
	return s.leases, nil
}

func (s *leaseStore) Renew(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.live[lease] {
		return feeds.ErrLeaseExpired
	}
	return nil
}

func (s *leaseStore) Release(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, lease)
	return nil
}

func (s *leaseStore) Register(_ context.Context, _ relay.Member, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.live[lease] {
		return feeds.ErrLeaseExpired
	}
	s.entries[lease]++
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return errAnswerLost
	}
	return nil
}

func runRegistry(t *testing.T, s *leaseStore, test func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() { assert.Check(t, feeds.Registry{Store: s, OnError: func(error) {}}.Run(ctx)) }()
		test()
		cancel()
		synctest.Wait()
		assert.Equal(t, len(s.live), 0, "an instance that has left must not stay registered")
	})
}

// The entry may be in the store although the answer to its writing was lost.
func TestRegistrationWhoseAnswerWasLostIsWrittenAgainUnderItsLease(t *testing.T) {
	s := newLeaseStore()
	s.lostAnswers = 2
	runRegistry(t, s, func() {
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.leases, int64(1))
		assert.Equal(t, s.entries[1], 3)
	})
}

func TestInstanceThatLeavesBeforeItsRegistrationIsConfirmedIsRemoved(t *testing.T) {
	s := newLeaseStore()
	s.lostAnswers = 100
	runRegistry(t, s, func() { time.Sleep(200 * time.Millisecond) })
}

func TestInstanceRegistersAgainAfterItsLeaseExpired(t *testing.T) {
	s := newLeaseStore()
	runRegistry(t, s, func() {
		time.Sleep(time.Second)
		_ = s.Release(t.Context(), 1)
		time.Sleep(15 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.entries[2], 1)
	})
}
