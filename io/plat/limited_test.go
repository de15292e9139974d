package plat_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

func newLimitedStore(t *testing.T) (*plat.LimitedStore, *fakes.Store) {
	t.Helper()
	faulty := fakes.NewStore(newEmbedded(t))
	store, err := plat.NewLimitedStore(plat.LimitedStoreConfig{
		Store: faulty, ReadsPerSecond: 100, WritesPerSecond: 10, Burst: 2, MaxQueue: 30, MaxWatches: 1, RetriesPerSecond: 1,
		Timeout: time.Second, MaxAttempts: 4,
		Backoff: policy.Backoff{InitialDelay: 50 * time.Millisecond, MaxDelay: time.Second},
	})
	assert.NilError(t, err)
	return store, faulty
}

func TestLimitedStoreKeepsToItsWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, faulty := newLimitedStore(t)
		began := time.Now()
		var group sync.WaitGroup
		for i := range 22 {
			group.Go(func() {
				_, err := store.Swap(t.Context(), plat.Swap{Key: string(rune('a' + i))})
				assert.Check(t, err)
			})
		}
		group.Wait()
		assert.Equal(t, time.Since(began), 2*time.Second)
		assert.Equal(t, faulty.Writes(), int64(22))
	})
}

func TestLimitedStoreCoalescesIdenticalReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, faulty := newLimitedStore(t)
		assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}.WithDelay(100*time.Millisecond)))
		cancelled, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() {
			_, err := store.Get(cancelled, "a")
			assert.Check(t, errors.Is(err, plat.ErrUnavailable))
		})
		synctest.Wait()
		for range 49 {
			group.Go(func() {
				_, err := store.Get(t.Context(), "a")
				assert.Check(t, err)
			})
		}
		synctest.Wait()
		cancel()
		group.Wait()
		assert.Equal(t, faulty.Reads(), int64(1))
		assert.Equal(t, store.Usage().Coalesced, int64(49))
	})
}

func TestLimitedStoreReadReturnsOwnWriteWhileAnOlderReadIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, faulty := newLimitedStore(t)
		assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}.WithDelay(400*time.Millisecond).WithStale(true)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _, _ = store.Get(ctx, "a") }()
		synctest.Wait()
		assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}))
		revision, err := store.Swap(t.Context(), plat.Swap{Key: "a", Value: []byte("1")})
		assert.NilError(t, err)
		got, err := store.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, got.Revision, revision)
	})
}

func TestLimitedStoreRejectsCallsWhenItsQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, faulty := newLimitedStore(t)
		results := make(chan error, 40)
		for range 40 {
			go func() {
				_, err := store.Grant(t.Context(), time.Minute)
				results <- err
			}()
		}
		rejected := 0
		for range 40 {
			err := <-results
			if err != nil {
				assert.ErrorIs(t, err, plat.ErrUnavailable)
				rejected++
			}
		}
		assert.Assert(t, rejected > 0)
		assert.Equal(t, faulty.Writes(), int64(40-rejected))
	})
}

func TestLimitedStoreRetriesReadsOnlyWithinItsRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, faulty := newLimitedStore(t)
		assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}.WithDown(true)))
		for range 50 {
			_, err := store.Get(t.Context(), "a")
			assert.ErrorIs(t, err, plat.ErrUnavailable)
		}
		assert.Assert(t, faulty.Reads() < 60, "%d reads for 50 calls", faulty.Reads())
		_, err := store.Swap(t.Context(), plat.Swap{Key: "a"})
		assert.ErrorIs(t, err, plat.ErrUnavailable)
		assert.Equal(t, faulty.Writes(), int64(1), "a write must not be retried")
	})
}

func TestLimitedStoreSettlesALostAnswer(t *testing.T) {
	for name, faults := range map[string]fakes.StoreFaults{
		"answer lost once":                fakes.StoreFaults{}.WithLostAnswers(1),
		"answer lost twice":               fakes.StoreFaults{}.WithLostAnswers(2),
		"answer lost and reads stale":     fakes.StoreFaults{}.WithLostAnswers(1).WithStale(true),
		"takes effect after the time-out": fakes.StoreFaults{}.WithDelay(1500 * time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, faulty := newLimitedStore(t)
				first, err := store.Swap(t.Context(), plat.Swap{Key: "a", Value: []byte("old")})
				assert.NilError(t, err)
				assert.NilError(t, faulty.SetFaults(faults))
				time.AfterFunc(1200*time.Millisecond, func() { _ = faulty.SetFaults(fakes.StoreFaults{}) })
				revision, err := store.Swap(t.Context(), plat.Swap{Key: "a", Expect: first, Value: []byte("new")})
				assert.NilError(t, err)
				time.Sleep(5 * time.Second)
				got, err := store.Get(t.Context(), "a")
				assert.NilError(t, err)
				assert.Equal(t, got.Revision, revision, "the change took effect more than once")
				assert.Equal(t, got.Revision, first+1)
			})
		})
	}
}

func TestLimitedStoreReportsUnknownOutcomeIfALostSwapWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, faulty := newLimitedStore(t)
		assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}.WithLostAnswers(1)))
		done := make(chan error)
		go func() {
			_, err := store.Swap(t.Context(), plat.Swap{Key: "a", Value: []byte("ours")})
			done <- err
		}()
		synctest.Wait()
		_, err := faulty.Swap(t.Context(), plat.Swap{Key: "a", Expect: 1, Value: []byte("theirs")})
		assert.NilError(t, err)
		err = <-done
		assert.ErrorIs(t, err, plat.ErrUnknown)
		var conflict plat.Conflict
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, string(conflict.Current.Value), "theirs")
	})
}

func TestLimitedStoreCountsOpenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _ := newLimitedStore(t)
		ctx, cancel := context.WithCancel(t.Context())
		_, err := store.Watch(ctx, "a", 0)
		assert.NilError(t, err)
		_, err = store.Watch(ctx, "b", 0)
		assert.ErrorIs(t, err, plat.ErrUnavailable)
		cancel()
		synctest.Wait()
		assert.Equal(t, store.Usage().OpenWatches, int64(0))
	})
}
