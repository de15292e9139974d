package fakes_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

func TestInstanceListShowsChangeAfterLagAndFailsWhenUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakes.InstanceList{Lag: 3 * time.Second}
		list.SetServer(value.BackendServer{ID: "b1"})
		got, err := list.Servers(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(got), 0, "the list shows a change before the lag has passed")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		got, err = list.Servers(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(got), 1)
		list.SetUnreachable(true)
		_, err = list.Servers(t.Context())
		assert.ErrorIs(t, err, plat.ErrUnavailable)
	})
}

func TestRatingsContinueFromCursor(t *testing.T) {
	ratings := new(fakes.Ratings)
	ratings.Add(plat.Rating{Request: "r1"})
	_, cursor, err := ratings.Ratings(t.Context(), "")
	assert.NilError(t, err)
	ratings.Add(plat.Rating{Request: "r2"})
	got, _, err := ratings.Ratings(t.Context(), cursor)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Request, value.RequestID("r2"))
}

func TestWeightsServeNoMoreThanTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := fakes.NewWeights(1, 2)
		assert.NilError(t, weights.ReserveLoad())
		assert.NilError(t, weights.ReserveLoad())
		assert.ErrorIs(t, weights.ReserveLoad(), fakes.ErrWeightsBusy)
		time.Sleep(time.Second)
		n, err := weights.Available(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
	})
}
