package feeds_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/loop"
	"endivehitch/core/relay"
	"endivehitch/io/clock"
	"endivehitch/io/feeds"
)

// store is a small stand-in of the metadata store with one series of changes.
type store struct {
	mu       sync.Mutex
	changes  []relay.Change
	revision int64
	floor    int64
	changed  chan struct{}
	// silent makes calls hang, away makes them fail, deaf makes waiting calls hear nothing.
	silent, away, deaf bool
	images, watches    int
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 1}
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, e relay.Entry) {
	s.set(func() {
		s.revision++
		s.changes = append(s.changes, relay.Change{Key: key, Revision: s.revision, Entry: e})
	})
}

func (s *store) config(version int64) {
	s.put("config", relay.Entry{Config: &relay.Config{Version: version}})
}

func (s *store) server(id relay.ServerID) {
	s.put(string(id), relay.Entry{Server: &relay.Server{ID: id, Service: "app"}})
}

func (s *store) remove(key string) {
	s.set(func() {
		s.revision++
		s.changes = append(s.changes, relay.Change{Key: key, Revision: s.revision, Gone: true})
	})
}

// reach waits as long as a client of the store would.
func (s *store) reach(ctx context.Context) error {
	s.mu.Lock()
	silent, away := s.silent, s.away
	s.mu.Unlock()
	if silent {
		if err := clock.Wait(ctx, time.Second); err != nil {
			return err
		}
		return feeds.ErrAway
	}
	if away {
		return feeds.ErrAway
	}
	return nil
}

func (s *store) Image(ctx context.Context) (relay.Feed, error) {
	if err := s.reach(ctx); err != nil {
		return relay.Feed{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.images++
	last := make(map[string]relay.Change)
	for _, c := range s.changes {
		last[c.Key] = c
	}
	f := relay.Feed{Whole: true, Revision: s.revision}
	for _, c := range last {
		if !c.Gone {
			f.Changes = append(f.Changes, c)
		}
	}
	return f, nil
}

func (s *store) Changes(ctx context.Context, after int64, wait time.Duration) (relay.Feed, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	deadline := time.Now().Add(wait)
	for {
		if err := s.reach(ctx); err != nil {
			return relay.Feed{}, err
		}
		s.mu.Lock()
		changed, deaf := s.changed, s.deaf && wait > 0
		f := relay.Feed{After: after, Revision: s.revision}
		for _, c := range s.changes {
			if c.Revision > after {
				f.Changes = append(f.Changes, c)
			}
		}
		forgotten := after < s.floor
		s.mu.Unlock()
		if forgotten {
			return relay.Feed{}, feeds.ErrForgotten
		}
		left := time.Until(deadline)
		if deaf {
			f = relay.Feed{After: after, Revision: after}
		}
		if (len(f.Changes) > 0 && !deaf) || left <= 0 {
			return f, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return relay.Feed{}, ctx.Err()
		}
		timer.Stop()
	}
}

// fleet has instances that tell one another what they know.
type fleet struct {
	t *testing.T
	// bulky counts the large answers among instances.
	bulky     atomic.Int64
	mu        sync.Mutex
	instances map[string]*instance
}

type instance struct {
	loop  *loop.Loop[relay.State, relay.Effect]
	store *store
}

func (f *fleet) Since(ctx context.Context, address string, a feeds.Ask) (relay.Feed, error) {
	revision := a.Revision
	f.mu.Lock()
	i, ok := f.instances[address]
	f.mu.Unlock()
	if !ok {
		return relay.Feed{}, feeds.ErrAway
	}
	deadline := time.Now().Add(a.Wait)
	for {
		s, changed := i.loop.Watch()
		told := feeds.Bounded(s.Since(revision), a)
		told.Away = !s.Away.IsZero()
		if !s.Back.IsZero() {
			told.Back = time.Since(s.Back)
		}
		if s.Revision > revision {
			if told.Whole || len(told.Changes) > 128 {
				f.bulky.Add(1)
			}
			return told, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
			return relay.Feed{After: revision, Revision: revision, Away: told.Away, Back: told.Back}, nil
		case <-ctx.Done():
			return relay.Feed{}, ctx.Err()
		}
		timer.Stop()
	}
}

const grace = 2200 * time.Millisecond

// start starts an instance that reads the store; its address is its name.
func (f *fleet) start(ctx context.Context, self relay.Member, s *store) *instance {
	f.t.Helper()
	l, err := loop.New(loop.Config[relay.State, relay.Effect]{Initial: relay.New(self), Now: time.Now, Mailbox: 8})
	assert.NilError(f.t, err)
	i := &instance{loop: l, store: s}
	f.mu.Lock()
	f.instances[self.Address] = i
	f.mu.Unlock()
	follow, err := feeds.New(feeds.Config{
		Seeds: func() []string { return nil }, Store: s, Peers: f, Control: l, Grace: grace, Now: time.Now,
	})
	assert.NilError(f.t, err)
	go l.Run(ctx)
	go func() {
		for range l.Effects() {
			continue
		}
	}()
	for _, run := range []func(context.Context) error{follow.Run, follow.RunPeers, follow.Tick} {
		go func() { assert.Check(f.t, run(ctx)) }()
	}
	return i
}

// member registers the instance of that name in the failure domain.
func member(name, domain string) relay.Member {
	return relay.Member{Name: relay.MemberName(name), Domain: relay.FailureDomain(domain), Address: name}
}

// longest bounds a test's waits, so that a failure ends.
const longest = time.Minute

// knows returns how long it takes until the instance has the version, or the longest wait.
func (i *instance) knows(ctx context.Context, version int64) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	began := time.Now()
	for {
		s, changed := i.loop.Watch()
		if s.Config.Version >= version {
			return time.Since(began)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Since(began)
		}
	}
}
