package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// StoreBack notes that the store is in reach again.
type StoreBack struct{}

// Apply notes the time of the return.
func (StoreBack) Apply(s relay.State, now time.Time) (relay.State, []relay.Effect) {
	if s.Away.IsZero() {
		return s, nil
	}
	return s.WithBack(now), []relay.Effect{relay.Decided{
		What: "StoreRegained", Revision: s.Revision, Detail: "after " + now.Sub(s.Away).String(),
	}}
}
