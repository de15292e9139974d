package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/lease"
	"endivehitch/io/plat"
)

type fakeWeightStore struct{ err error }

func (w fakeWeightStore) Available(context.Context) (int, error) {
	return 1, w.err
}

func newPlacement(t *testing.T, weights plat.WeightStore, backend *fakeServer, decisions *[]state.RecordDecision) lease.Duty {
	t.Helper()
	document := value.Document{
		Models: []value.Model{{Name: "m", Versions: []value.Version{{Name: "v1", Pool: "p"}}}},
		Pools:  []value.Pool{{Name: "p"}},
	}
	snapshot := state.New(member(0)).WithConfig(value.AcceptedDocument{Document: document, Revision: 1}).
		WithServer(value.BackendServer{ID: "s1", Pool: "p", State: value.ServerLive})
	d, err := lease.NewPlacement(lease.PlacerConfig{
		Snapshot:   func() state.State { return snapshot },
		Demand:     func() query.PlacementDemand { return query.PlacementDemand{} },
		Weights:    weights,
		Reconciler: lease.Reconciler{Commander: backend},
		Rule:       query.PlacementRule{VersionsPerServer: 2, Domains: 2},
		Interval:   10 * time.Second,
		Record:     func(d state.RecordDecision) { *decisions = append(*decisions, d) },
	})
	assert.NilError(t, err)
	return d
}

func TestPlacementSendsEachOrderOnceAndRecordsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := new(fakeServer)
		var decisions []state.RecordDecision
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			return newPlacement(t, fakeWeightStore{}, backend, &decisions).Run(ctx, term)
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, len(backend.orders), 1)
		assert.Equal(t, decisions[0].Event, "PlacementLoad")
		assert.Equal(t, decisions[0].Reason, query.ReasonNoServerHasVersion)
	})
}

func TestPlacementLoadsNothingWhileWeightStoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := new(fakeServer)
		var decisions []state.RecordDecision
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			return newPlacement(t, fakeWeightStore{err: plat.ErrUnavailable}, backend, &decisions).Run(ctx, term)
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, len(backend.orders), 0)
	})
}
