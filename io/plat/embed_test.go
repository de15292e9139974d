package plat_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/io/plat"
)

func newEmbedded(t *testing.T) *plat.Embedded {
	t.Helper()
	e, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 4})
	assert.NilError(t, err)
	return e
}

func TestSwapRejectsAnOutdatedRevision(t *testing.T) {
	e := newEmbedded(t)
	first, err := e.Swap(t.Context(), plat.Swap{Key: "a", Value: []byte("1")})
	assert.NilError(t, err)
	_, err = e.Swap(t.Context(), plat.Swap{Key: "a", Expect: first, Value: []byte("2")})
	assert.NilError(t, err)
	_, err = e.Swap(t.Context(), plat.Swap{Key: "a", Expect: first, Value: []byte("3")})
	var conflict plat.Conflict
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, string(conflict.Current.Value), "2")
	_, err = e.Swap(t.Context(), plat.Swap{Key: "a", Value: []byte("3")})
	assert.Assert(t, errors.As(err, &conflict), "a swap that expects no entry must not replace one")
}

func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEmbedded(t)
		id, err := e.Grant(t.Context(), 10*time.Second)
		assert.NilError(t, err)
		_, err = e.Swap(t.Context(), plat.Swap{Key: "held", Lease: id})
		assert.NilError(t, err)
		time.Sleep(8 * time.Second)
		_, err = e.KeepAlive(t.Context(), id)
		assert.NilError(t, err)
		time.Sleep(9 * time.Second)
		got, err := e.Get(t.Context(), "held")
		assert.NilError(t, err)
		assert.Assert(t, got.Revision > 0, "the renewed lease must not expire at its first end")
		time.Sleep(2 * time.Second)
		got, err = e.Get(t.Context(), "held")
		assert.NilError(t, err)
		assert.Equal(t, got.Revision, int64(0))
		_, err = e.KeepAlive(t.Context(), id)
		assert.ErrorIs(t, err, plat.ErrLeaseLost)
	})
}

func TestWatchSendsEachChangeOnceAndEndsWhenItsHistoryIsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEmbedded(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		put := func(key string) {
			got, err := e.Get(ctx, key)
			assert.NilError(t, err)
			_, err = e.Swap(ctx, plat.Swap{Key: key, Expect: got.Revision})
			assert.NilError(t, err)
		}
		put("x/1")
		put("y/1")
		events, err := e.Watch(ctx, "x/", 1)
		assert.NilError(t, err)
		assert.Equal(t, (<-events).Entry.Key, "x/1")
		put("x/2")
		assert.Equal(t, (<-events).Entry.Revision, int64(3))
		// More changes than the history holds, while nothing receives from the watch.
		for range 12 {
			put("x/3")
		}
		synctest.Wait()
		last := int64(0)
		for event := range events {
			assert.Assert(t, event.Entry.Revision > last)
			last = event.Entry.Revision
		}
		_, err = e.Watch(ctx, "x/", 1)
		assert.ErrorIs(t, err, plat.ErrCompacted)
	})
}
