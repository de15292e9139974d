package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// orCascade returns a cascade in place of the plan where it is cheaper or the only one to meet the target.
//
// A session keeps one version, so that only requests without a session take a cascade.
func (c *chooser) orCascade(p Plan) Plan {
	if !c.kind.Idempotent || c.request.Session != "" {
		return p
	}
	left := c.request.Deadline.Sub(c.now)
	for i := range c.menu.Pairs {
		pair := &c.menu.Pairs[i]
		first, second := c.bound(pair.First), c.bound(pair.Second)
		cost := c.pairCost(pair, first.Mean)
		if p.Reason != value.ReasonBestEffort && cost >= p.CostMicros {
			continue
		}
		quality := state.CascadeLower(c.kind.Judge, first, second)
		if quality < c.kind.QualityTarget || c.pairLatency(pair) > left {
			continue
		}
		if c.eligible(pair.First) && c.eligible(pair.Second) {
			p = Plan{Versions: pair.Versions, Reason: value.ReasonCascade, CostMicros: cost, Quality: quality}
		}
	}
	return p
}

func (c *chooser) pairCost(p *state.Pair, quality float64) int64 {
	return c.kind.Judge.Cost(c.cost(p.First), c.cost(p.Second), quality)
}

// pairLatency returns the expected time to an answer that takes both steps.
func (c *chooser) pairLatency(p *state.Pair) time.Duration {
	first := c.menu.Offers[p.First].Version.Latency(c.request.MaxTokens)
	return first + c.kind.Judge.Latency + c.menu.Offers[p.Second].Version.Latency(c.request.MaxTokens)
}
