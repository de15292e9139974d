package query_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/query"
	"endivehitch/core/value"
)

func TestOutcomeOfDistinguishesALostResponseFromAConflict(t *testing.T) {
	mine := value.Change{ID: "mine", Expect: 7, Digest: "d1"}
	other := value.Change{ID: "rival", Expect: 7, Digest: "d1"}
	later := value.Change{ID: "later", Expect: 8}
	cases := []struct {
		name    string
		current value.CurrentRecord
		want    query.Outcome
	}{
		{"applied", value.CurrentRecord{Revision: 8, Change: mine}, query.OutcomeApplied},
		{"applied and replaced by a later change", value.CurrentRecord{Revision: 9, Change: later, History: []value.Change{mine}}, query.OutcomeSuperseded},
		{"not applied yet", value.CurrentRecord{Revision: 7, Change: value.Change{ID: "before", Expect: 5}}, query.OutcomeOpen},
		{"another change with the same digest applied", value.CurrentRecord{Revision: 8, Change: other}, query.OutcomeConflict},
		{"another change applied and replaced by a later one", value.CurrentRecord{Revision: 9, Change: later, History: []value.Change{other}}, query.OutcomeConflict},
		{"record read from an older state", value.CurrentRecord{Revision: 5}, query.OutcomeStaleRecord},
		{"change history too short", value.CurrentRecord{Revision: 9, Change: later}, query.OutcomeBeyondHistory},
	}
	for _, c := range cases {
		assert.Equal(t, query.OutcomeOf(c.current, mine), c.want, c.name)
	}
}

func TestPromoteAcceptsOnlyTheDigestInForceInTrial(t *testing.T) {
	trial := value.CurrentRecord{Revision: 5, Change: value.Change{ID: "t", Digest: "d2"}}
	current := value.CurrentRecord{Revision: 3, Change: value.Change{ID: "p", Digest: "d1"}}
	digest, err := query.Promote(trial, current, "")
	assert.NilError(t, err)
	assert.Equal(t, digest, "d2")
	refused := func(trial, production value.CurrentRecord, digest string) value.Reason {
		_, err := query.Promote(trial, production, digest)
		var r value.ChangeRefused
		assert.Assert(t, errors.As(err, &r), "%v", err)
		return r.Reason
	}
	assert.Equal(t, refused(trial, current, "d1"), value.ReasonNotInTrial)
	assert.Equal(t, refused(value.CurrentRecord{}, current, "d2"), value.ReasonNothingStored)
	assert.Equal(t, refused(trial, trial, "d2"), value.ReasonAlreadyInForce)
}
