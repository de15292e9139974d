package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/flow"
)

// Guards against requests to an ejected server once it was missing from one reading of the list.
func TestEjectionOutlastsAReadingThatLacksTheServer(t *testing.T) {
	now := time.Unix(1000, 0)
	until := now.Add(10 * time.Second)
	loads := flow.NewServerLoads()
	loads.Update("ejected", func(l value.Load) value.Load { return l.WithEjection(until) })
	loads.Update("idle", func(l value.Load) value.Load { return l.WithFailure() })
	var none policy.Table[value.ServerID, value.BackendServer]
	loads.Prune(none, now)
	assert.Assert(t, loads.Load("ejected").EjectedUntil.Equal(until))
	assert.Equal(t, loads.Load("idle").Failures, 0)
	loads.Prune(none, until)
	assert.Assert(t, loads.Load("ejected").EjectedUntil.IsZero(), "it is forgotten after the ejection")
}
