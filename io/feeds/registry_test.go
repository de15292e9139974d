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
	"endivehitch/core/relay/cmds"
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
	// losesEntries is how many further entries are lost before the instance has seen them.
	losesEntries int
	// control learns of changes of the entry.
	control  feeds.Control
	revision int64
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
	return s.publish(relay.Change{Gone: true})
}

// publish tells the instance of a change of its entry.
func (s *leaseStore) publish(change relay.Change) error {
	change.Revision = s.revision + 1
	return s.publishAfter(s.revision, change)
}

func (s *leaseStore) publishAfter(revision int64, change relay.Change) error {
	change.Key, s.revision = "entry", change.Revision
	feed := relay.Feed{After: revision, Revision: s.revision, Changes: []relay.Change{change}}
	return s.control.Do(context.Background(), cmds.ApplyFeed{Feed: feed, FromStore: true})
}

func (s *leaseStore) Register(_ context.Context, member relay.Member, lease int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.live[lease] {
		return 0, feeds.ErrLeaseExpired
	}
	s.entries[lease]++
	if s.losesEntries > 0 {
		s.losesEntries--
		delete(s.live, lease)
		// The instance learns of the entry and of its end at once.
		written := s.revision + 1
		return written, s.publishAfter(s.revision, relay.Change{Gone: true, Revision: written + 1})
	}
	if err := s.publish(relay.Change{Entry: relay.Entry{Member: &member}}); err != nil {
		return 0, err
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, errAnswerLost
	}
	return s.revision, nil
}

// runRegistry runs the registry of an instance that learns at once what the store has.
func runRegistry(t *testing.T, s *leaseStore, test func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := relay.Member{Name: "n1"}
		s.control = runLoop(ctx, t, self)
		go func() {
			assert.Check(t, feeds.Registry{Store: s, Control: s.control, Self: self, OnError: func(error) {}}.Run(ctx))
		}()
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
		s.mu.Lock()
		delete(s.live, 1)
		s.mu.Unlock()
		time.Sleep(15 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.entries[2], 1)
	})
}

// Guards against a fleet whose instances lose sight of each other until the next renewal, ten seconds later: each took the
// retry budget of all, and told no other what it had learned.
func TestInstanceRegistersAgainSoonAfterItsEntryWasLost(t *testing.T) {
	s := newLeaseStore()
	runRegistry(t, s, func() {
		time.Sleep(time.Second)
		_ = s.Release(t.Context(), 1)
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.entries[2], 1)
	})
}

// Guards against the same where the entry is lost before the instance has seen it: the loss was not noticed then.
func TestInstanceRegistersAgainSoonAfterAnEntryThatItNeverSawWasLost(t *testing.T) {
	s := newLeaseStore()
	s.losesEntries = 1
	runRegistry(t, s, func() {
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.entries[2], 1)
	})
}
