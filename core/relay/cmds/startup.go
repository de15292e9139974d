package cmds

import (
	"time"

	"endivehitch/core/relay"
)

// BeginStartup records that the instance begins to ask for a state.
type BeginStartup struct{}

// Apply records the time, unless it is known.
func (BeginStartup) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	if !state.Startup.Since.IsZero() {
		return state, nil
	}
	return state.WithStartup(relay.Startup{Since: now, OthersServeAt: state.Startup.OthersServeAt}), nil
}

// OtherServes records that another instance has said that it has a state.
type OtherServes struct{}

// Apply records the time.
func (OtherServes) Apply(state relay.State, now time.Time) (relay.State, []relay.Effect) {
	return state.WithStartup(relay.Startup{Since: state.Startup.Since, OthersServeAt: now}), nil
}
