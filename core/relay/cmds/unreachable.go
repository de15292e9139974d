package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// StoreUnreachable records that the store is unreachable.
type StoreUnreachable struct {
	// Cause is the error of the call that failed.
	Cause string
}

// Apply records the time of the first failure and logs it; further failures change nothing.
func (c StoreUnreachable) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	if !state.StoreUnreachableSince.IsZero() {
		return state, nil
	}
	return state.WithStoreUnreachable(now), []relay.Effect{relay.RecordDecision{Event: "StoreLost", Revision: state.Revision, Detail: c.Cause}}
}
