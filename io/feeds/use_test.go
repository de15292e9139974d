package feeds_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/feeds"
)

// useRecords keeps the report of another instance.
type useRecords struct {
	noRecords
	merged *relay.UseReport
}

func (r useRecords) MergeUse(report relay.UseReport) { *r.merged = report }

func (useRecords) FleetUse() relay.UseReport { return relay.UseReport{Instances: 7} }

// stillControl never gets a newer state.
type stillControl struct{ feeds.Control }

func (stillControl) Watch() (relay.State, <-chan struct{}) { return relay.State{}, nil }

// Guards against instances that go by their own requests only, as what accounts use elsewhere doesn't reach them.
func TestUseOfAccountsGoesAlongWithCallsForChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var merged relay.UseReport
		sent := relay.UseReport{From: "other", Instances: 1, Accounts: []relay.AccountUse{{Account: "a", Offered: 1}}}
		methods := feeds.Methods{Control: stillControl{}, Records: useRecords{merged: &merged}, Now: time.Now}
		assert.Equal(t, methods.Since(feeds.Ask{Use: sent}).Use.Instances, 7)
		assert.DeepEqual(t, merged, sent)
	})
}
