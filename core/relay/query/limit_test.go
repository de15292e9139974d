package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/place"
	"endivehitch/core/relay/query"
)

// Guards against a refusal that speaks of no server because the last of those with a limit had denied nothing yet.
func TestServersWithLimitsAreNotTakenForNoneWhicheverWasDenied(t *testing.T) {
	state := stateOf(serverOf("a", "v1"), serverOf("b", "v1"))
	limited := relay.Restriction{}.WithReportedLimit(1, now)
	denied := limited.WithDenial(now.Add(time.Second))
	for name, restrictions := range map[string][2]relay.Restriction{
		"none": {limited, limited}, "first": {denied, limited}, "last": {limited, denied}, "both": {denied, denied},
	} {
		table := query.Restrictions{}.With("a", restrictions[0]).With("b", restrictions[1])
		refusal, ok := query.ClosedRefusal(cold.View{State: state, Now: now}, "engine", place.Restriction{}, table)
		assert.Check(t, ok && refusal.NotRun && refusal.RetryAfter > 0, name)
	}
}
