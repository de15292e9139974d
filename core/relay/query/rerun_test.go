package query_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// Guards against a request that runs twice although it may run once, for any of the reasons for another attempt, and against
// reasons that count attempts or time differently.
func TestRequestRunsAgainOnlyWhereItsRouteAllowsIt(t *testing.T) {
	models := []relay.ModelName{"small", "large"}
	routes := map[string]relay.Route{
		"once":             {Repeat: relay.RetryNever, Models: models},
		"once, a stream":   {Repeat: relay.RetryNever, Models: models, Stream: true},
		"idempotent":       {Repeat: relay.RetryAlways, Models: models},
		"resumable stream": {Repeat: relay.RetryResuming, Models: models, Stream: true},
	}
	steps := query.Rerun{Kind: query.RerunStepUp, Ending: query.EndedDiscarded}
	cases := map[string]struct {
		again query.Rerun
		// mayOnce and mayAgain say whether a request that may run once or again runs again, while attempts and time are left.
		mayOnce, mayAgain bool
		// need is the time that must be left.
		need time.Duration
	}{
		"retry, nothing sent":        {again: query.Rerun{Ending: query.EndedUnsent}, mayOnce: true, mayAgain: true, need: 30 * time.Millisecond},
		"retry, refused by a server": {again: query.Rerun{Ending: query.EndedNotRun}, mayOnce: true, mayAgain: true, need: 30 * time.Millisecond},
		"retry, answer lost":         {again: query.Rerun{Ending: query.EndedUnknown}, mayAgain: true, need: 30 * time.Millisecond},
		"retry, server lost":         {again: query.Rerun{Ending: query.EndedLost}, mayAgain: true, need: 30 * time.Millisecond},
		"retry, error answer":        {again: query.Rerun{Ending: query.EndedFailed}, mayAgain: true, need: 30 * time.Millisecond},
		"resumption":                 {again: query.Rerun{Ending: query.EndedUnknown, ResponseStarted: true}, mayAgain: true, need: 30 * time.Millisecond},
		"move":                       {again: query.Rerun{Kind: query.RerunMove, Ending: query.EndedSlow}, mayAgain: true, need: 30 * time.Millisecond},
		"rescue":                     {again: query.Rerun{Kind: query.RerunRescue, Ending: query.EndedSlow, ResponseStarted: true}, mayAgain: true, need: 30 * time.Millisecond},
		"step-up":                    {again: steps, mayAgain: true, need: 500 * time.Millisecond},
		"step-up, answer begun":      {again: query.Rerun{Kind: query.RerunStepUp, Ending: query.EndedDiscarded, ResponseStarted: true}},
	}
	for kind, route := range routes {
		route.Attempts, route.Objective = 2, time.Second
		for name, c := range cases {
			t.Run(fmt.Sprint(kind, ", ", name), func(t *testing.T) {
				expected := c.mayAgain
				if route.Repeat == relay.RetryNever {
					expected = c.mayOnce
				}
				again := c.again
				again.Attempts, again.Left = query.RequestAttempts{}.With(again.Ending), c.need
				assert.Equal(t, query.MayRerun(route, again), expected)
				again.Left = c.need - time.Millisecond
				assert.Assert(t, !query.MayRerun(route, again), "no time is left")
				again.Left, again.Attempts.Run = c.need, 2
				assert.Assert(t, !query.MayRerun(route, again), "the attempts are used up")
			})
		}
	}
	route := relay.Route{Repeat: relay.RetryAlways, Attempts: 5}
	twice := query.RequestAttempts{All: 2, Run: 2, Lost: 2}
	assert.Assert(t, !query.MayRerun(route, query.Rerun{Ending: query.EndedLost, Attempts: twice, Left: time.Second}), "two servers were lost")
	steps.Left = time.Second
	assert.Assert(t, !query.MayRerun(route, steps), "there is no larger model")
}
