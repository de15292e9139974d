package feeds_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// inForce is how soon a configuration must be in force at an instance that the store serves.
const inForce = 2 * time.Second

func play(t *testing.T, test func(t *testing.T, ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{t: t, instances: make(map[string]*instance)}
		test(t, ctx, f)
		cancel()
		synctest.Wait()
	})
}

func TestAConfigurationIsInForceSoon(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context, f *fleet) {
		s := newStore()
		s.config(1)
		i := f.start(ctx, member("a", "d"), s)
		i.knows(ctx, 1)
		time.Sleep(10 * time.Second)
		s.config(2)
		assert.Assert(t, i.knows(ctx, 2) < inForce)
	})
}

func TestADroppedHistoryIsReadWhole(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context, f *fleet) {
		s := newStore()
		s.config(1)
		s.server("x")
		i := f.start(ctx, member("a", "d"), s)
		i.knows(ctx, 1)
		s.deaf = true
		s.remove("x")
		s.config(2)
		s.set(func() { s.floor, s.deaf = s.revision, false })
		assert.Assert(t, i.knows(ctx, 2) < 4*time.Second)
		assert.Equal(t, len(i.loop.Snapshot().Servers("app")), 0, "the server left in the gap")
		assert.Equal(t, s.images, 2)
	})
}

func TestWhileTheStoreIsDownWhatIsKnownHolds(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context, f *fleet) {
		s := newStore()
		s.config(1)
		s.server("x")
		i := f.start(ctx, member("a", "d"), s)
		i.knows(ctx, 1)
		s.set(func() { s.away = true })
		time.Sleep(30 * time.Second)
		assert.Equal(t, i.loop.Snapshot().Config.Version, int64(1))
		assert.Equal(t, len(i.loop.Snapshot().Servers("app")), 1)
		assert.Assert(t, !i.loop.Snapshot().Away.IsZero())
		s.set(func() { s.away = false })
		s.config(2)
		assert.Assert(t, i.knows(ctx, 2) < 3*time.Second)
		assert.Assert(t, i.loop.Snapshot().Away.IsZero())
	})
}

func TestEntriesThatLapsedWithTheStoreAreKeptForAWhile(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context, f *fleet) {
		s := newStore()
		s.config(1)
		s.server("x")
		s.server("y")
		i := f.start(ctx, member("a", "d"), s)
		i.knows(ctx, 1)
		s.set(func() { s.away = true })
		time.Sleep(5 * time.Second)
		s.remove("x")
		s.remove("y")
		s.set(func() { s.away = false })
		time.Sleep(1700 * time.Millisecond)
		assert.Equal(t, len(i.loop.Snapshot().Servers("app")), 2)
		s.server("y")
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(i.loop.Snapshot().Servers("app")), 1, "one of them did not come back")
	})
}

func TestAnInstanceThatTheStoreRefusesHearsFromOthers(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a, b := member("a", "d1"), member("b", "d2")
		s, refused := newStore(), newStore()
		both := func(change func(*store)) {
			change(s)
			change(refused)
		}
		both(func(s *store) {
			s.put("ma", relay.Entry{Member: &a})
			s.put("mb", relay.Entry{Member: &b})
			s.config(1)
		})
		f.start(ctx, a, s).knows(ctx, 1)
		i := f.start(ctx, b, refused)
		i.knows(ctx, 1)
		refused.set(func() { refused.silent = true })
		time.Sleep(8 * time.Second)
		s.config(2)
		assert.Assert(t, i.knows(ctx, 2) < inForce)
	})
}

func TestNobodyWaitsForReadersThatAreCutOff(t *testing.T) {
	for deafDomains := 1; deafDomains <= 2; deafDomains++ {
		play(t, func(t *testing.T, ctx context.Context, f *fleet) {
			members := []relay.Member{
				member("a1", "d1"), member("a2", "d1"), member("b1", "d2"), member("b2", "d2"), member("c1", "d3"), member("c2", "d3"),
			}
			s, deaf := newStore(), newStore()
			for _, kept := range []*store{s, deaf} {
				for _, m := range members {
					kept.put(string(m.Name), relay.Entry{Member: &m})
				}
				kept.config(1)
			}
			image, err := s.Image(ctx)
			assert.NilError(t, err)
			var followers []*instance
			for n, m := range members {
				own := relay.New(m).WithFeed(image, time.Now(), 0)
				_, other := query.Reader(own, func(relay.MemberName) bool { return false })
				kept := s
				if !other && n/2 < deafDomains {
					kept = deaf
				}
				i := f.start(ctx, m, kept)
				i.knows(ctx, 1)
				if other {
					followers = append(followers, i)
				}
			}
			time.Sleep(5 * time.Second)
			// The deaf readers' waiting calls hear nothing, and nothing tells them so.
			s.config(2)
			began := time.Now()
			for _, i := range followers {
				i.knows(ctx, 2)
			}
			assert.Equal(t, len(followers), 3)
			assert.Assert(t, time.Since(began) < inForce, "%v with %d deaf readers", time.Since(began), deafDomains)
		})
	}
}

func TestAFewReadersServeAll(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context, f *fleet) {
		s := newStore()
		var members []relay.Member
		for _, n := range []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"} {
			m := member(n, n[:1])
			members = append(members, m)
			s.put(n, relay.Entry{Member: &m})
		}
		s.config(1)
		for _, m := range members {
			f.start(ctx, m, s).knows(ctx, 1)
		}
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		before := s.watches
		s.mu.Unlock()
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Assert(t, s.watches-before <= 2*12, "%d calls of two readers in 20 s", s.watches-before)
	})
}

func TestManyChangesComeFromTheStoreItself(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context, f *fleet) {
		const followers, servers = 12, 1500
		s := newStore()
		for n := range followers {
			m := member(fmt.Sprintf("m%02d", n), "d1")
			s.put(string(m.Name), relay.Entry{Member: &m})
		}
		s.config(1)
		var all []*instance
		for n := range followers {
			i := f.start(ctx, member(fmt.Sprintf("m%02d", n), "d1"), s)
			i.knows(ctx, 1)
			all = append(all, i)
		}
		for n := range servers {
			s.server(relay.ServerID(fmt.Sprint("s", n)))
		}
		s.config(2)
		began := time.Now()
		for _, i := range all {
			i.knows(ctx, 2)
			assert.Equal(t, len(i.loop.Snapshot().Servers("app")), servers)
		}
		assert.Assert(t, time.Since(began) < inForce, "%v", time.Since(began))
		assert.Equal(t, f.bulky.Load(), int64(0), "a reader's link would be full for long")
	})
}
