package conf_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

func TestStoreProgressReplacesOnlySupersededProgress(t *testing.T) {
	inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 16})
	assert.NilError(t, err)
	store := fakes.NewStore(inner)
	storeProgress := func(p value.Progress) value.Progress {
		p.Name, p.Version = "r", "m/v"
		stored, err := conf.StoreProgress(t.Context(), store, "trial", p)
		assert.NilError(t, err)
		return stored
	}
	staged := value.Progress{Phase: value.PhaseStaged, Epoch: 2}
	assert.Equal(t, storeProgress(staged).Epoch, int64(2))
	assert.Equal(t, storeProgress(value.Progress{Phase: value.PhaseStaged, Epoch: 1}).Epoch, int64(2), "older progress must not replace the current record")

	assert.NilError(t, store.SetFaults(fakes.StoreFaults{LostAnswers: 1}))
	before := store.Writes()
	assert.Equal(t, storeProgress(value.Progress{Phase: value.PhaseStaged, Epoch: 3}).Epoch, int64(3))
	assert.Equal(t, store.Writes(), before+1, "a write whose answer was lost must be read back, not retried")

	storeProgress(value.Progress{Phase: value.PhaseWithdrawn, Epoch: 1})
	got := storeProgress(value.Progress{Phase: value.PhaseStaged, Epoch: 9})
	assert.Equal(t, got.Phase, value.PhaseWithdrawn, "nothing must replace a withdrawal")
}

func TestStoreWithdrawalLeavesTheFirstInPlace(t *testing.T) {
	store, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 16})
	assert.NilError(t, err)
	for _, reason := range []value.Reason{value.ReasonQuality, value.ReasonOperator} {
		stored, err := conf.StoreWithdrawal(t.Context(), store, "trial", value.Withdrawal{Version: "m/v", Reason: reason})
		assert.NilError(t, err)
		assert.Equal(t, stored.Reason, value.ReasonQuality)
	}
	listing, err := store.List(t.Context(), conf.Prefix("trial"))
	assert.NilError(t, err)
	changes, err := conf.Decode("trial", listing.Entries...)
	assert.NilError(t, err)
	assert.Equal(t, changes.Withdrawals[0].Version, value.VersionKey("m/v"))
}

func TestDecodeSkipsUnreadableEntries(t *testing.T) {
	good, err := conf.EncodeProgress(value.Progress{Name: "r", Stage: 2})
	assert.NilError(t, err)
	changes, err := conf.Decode("trial",
		plat.Entry{Key: conf.DocumentKey("trial"), Revision: 3, Value: []byte("{")},
		plat.Entry{Key: conf.RollOutKey("trial", "r"), Revision: 4, Value: good},
	)
	assert.ErrorContains(t, err, "document at revision 3")
	assert.Equal(t, changes.RollOuts[0].Stage, 2)
	assert.Equal(t, changes.Accepted.Revision, int64(0))
}
