package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// considerCascade replaces the plan by a cascade that meets the target, if the cascade is cheaper
// or the plan itself is not known to meet the target.
//
// A session stays on one version, so only requests without a session may use a cascade.
func (c *chooser) considerCascade(p Plan) Plan {
	if !c.kind.Idempotent || c.request.Session != "" {
		return p
	}
	remaining := c.request.Deadline.Sub(c.now)
	for i := range c.menu.Cascades {
		pair := &c.menu.Cascades[i]
		first, second := c.qualityBound(pair.First), c.qualityBound(pair.Second)
		cost := c.cascadeCost(pair, first.Mean)
		if p.Reason != value.ReasonBestEffort && cost >= p.CostMicros {
			continue
		}
		quality := state.CascadeLower(c.kind.Judge, first, second)
		if quality < c.kind.QualityTarget || c.cascadeLatency(pair) > remaining {
			continue
		}
		if c.eligible(pair.First) && c.eligible(pair.Second) {
			p = Plan{Versions: pair.Versions, Reason: value.ReasonCascade, CostMicros: cost, Quality: quality}
		}
	}
	return p
}

func (c *chooser) cascadeCost(p *state.Cascade, firstQuality float64) int64 {
	return c.kind.Judge.Cost(c.cost(p.First), c.cost(p.Second), firstQuality)
}

// cascadeLatency returns the expected time to an answer if the judge rejects the first version's
// one.
func (c *chooser) cascadeLatency(p *state.Cascade) time.Duration {
	first := c.menu.Candidates[p.First].Version.Latency(c.request.MaxTokens)
	return first + c.kind.Judge.Latency + c.menu.Candidates[p.Second].Version.Latency(c.request.MaxTokens)
}
