package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// StoreAway notes that the store is out of reach.
type StoreAway struct {
	// Cause is the error of the call that failed.
	Cause string
}

// Apply notes the time of the first failure.
func (c StoreAway) Apply(s relay.State, now time.Time) (relay.State, []relay.Effect) {
	if !s.Away.IsZero() {
		return s, nil
	}
	return s.WithStoreUnreachable(now), []relay.Effect{relay.Decided{What: "StoreLost", Revision: s.Revision, Detail: c.Cause}}
}
