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

func TestListsLagAndFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakes.List{Lag: 3 * time.Second}
		list.SetServer(value.BackendServer{ID: "b1"})
		got, err := list.Servers(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(got), 0, "a change shows before its lag")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		got, err = list.Servers(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(got), 1)
		list.SetAway(true)
		_, err = list.Servers(t.Context())
		assert.ErrorIs(t, err, plat.ErrUnavailable)
	})
}

func TestRatingsGoOnFromTheCursor(t *testing.T) {
	r := new(fakes.Ratings)
	r.Add(plat.Rating{Request: "r1"})
	_, cursor, err := r.Ratings(t.Context(), "")
	assert.NilError(t, err)
	r.Add(plat.Rating{Request: "r2"})
	got, _, err := r.Ratings(t.Context(), cursor)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Request, value.RequestID("r2"))
}

func TestWeightsKeepToTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fakes.NewWeights(1, 2)
		assert.NilError(t, w.Take())
		assert.NilError(t, w.Take())
		assert.ErrorIs(t, w.Take(), fakes.ErrWeightsBusy)
		time.Sleep(time.Second)
		n, err := w.Available(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
	})
}
