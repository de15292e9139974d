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

type weights struct{ err error }

func (w weights) Available(context.Context) (int, error) {
	return 1, w.err
}

func placement(t *testing.T, w plat.WeightStore, s *server, logged *[]state.RecordDecision) lease.Duty {
	t.Helper()
	document := value.Document{
		Models: []value.Model{{Name: "m", Versions: []value.Version{{Name: "v1", Pool: "p"}}}},
		Pools:  []value.Pool{{Name: "p"}},
	}
	snapshot := state.New(member(0)).WithConfig(value.AcceptedDocument{Document: document, Revision: 1}).
		WithServer(value.BackendServer{ID: "s1", Pool: "p", State: value.ServerLive})
	d, err := lease.NewPlacement(lease.PlacerConfig{
		Snapshot: func() state.State { return snapshot },
		Wants:    func() query.PlacementDemand { return query.PlacementDemand{} },
		Weights:  w,
		Orders:   lease.Orders{Commander: s},
		Rule:     query.PlacementRule{VersionsPerServer: 2, Domains: 2},
		Every:    10 * time.Second,
		Record:   func(d state.RecordDecision) { *logged = append(*logged, d) },
	})
	assert.NilError(t, err)
	return d
}

func TestPlacementGivesEachOrderOnceAndLogsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(server)
		var logged []state.RecordDecision
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			return placement(t, weights{}, s, &logged).Run(ctx, term)
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, len(s.orders), 1)
		assert.Equal(t, logged[0].Event, "PlacementLoad")
		assert.Equal(t, logged[0].Reason, query.ReasonNoCarrier)
	})
}

func TestPlacementLoadsNothingWhileTheWeightStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(server)
		var logged []state.RecordDecision
		err := inTerm(t, func(ctx context.Context, term lease.Term) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			return placement(t, weights{err: plat.ErrUnavailable}, s, &logged).Run(ctx, term)
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, len(s.orders), 0)
	})
}
