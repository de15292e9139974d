package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

func TestReportStatesHowLongEachInstanceHasLagged(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	accepted := value.AcceptedDocument{Document: value.Document{RollOuts: []value.RollOut{{Name: "r"}}}, Revision: 9}
	s, _ := cmds.InstallConfig{Accepted: accepted}.Apply(state.New(value.Instance{ID: "a"}), start)
	fleet := []value.Instance{
		s.Self,
		value.Instance{ID: "b"}.WithRevision(4).WithLaggingSince(start.Add(time.Minute)),
		value.Instance{ID: "c"}.WithRevision(9),
	}
	got := query.Report(s, fleet, start.Add(5*time.Minute))
	assert.Equal(t, got.Revision, int64(9))
	assert.Equal(t, got.RollOuts[0].Phase, value.PhasePlanned)
	lags := map[value.InstanceID]time.Duration{}
	for _, f := range got.Fleet {
		lags[f.Instance.ID] = f.Lag
	}
	assert.DeepEqual(t, lags, map[value.InstanceID]time.Duration{"a": 0, "b": 4 * time.Minute, "c": 0})
}
