package cmds

import (
	"strconv"
	"time"

	"endivehitch/core/relay"
)

// Tick drops what has outlived its grace.
type Tick struct{}

// Apply drops servers that vanished while the store was away and did not come back with it.
func (Tick) Apply(s relay.State, now time.Time) (relay.State, []relay.Effect) {
	next := s.WithoutExpired(now)
	if over := s.Missing() - next.Missing(); over > 0 {
		return next, []relay.Effect{relay.Decided{
			What: "ServersGone", Revision: s.Revision, Detail: strconv.Itoa(over) + " entries did not come back with the store",
		}}
	}
	return next, nil
}
