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
	for i := range c.set.Cascades {
		cascade := &c.set.Cascades[i]
		first, second := c.qualityBound(cascade.First), c.qualityBound(cascade.Second)
		cost := c.cascadeCost(cascade, first.Mean)
		if p.Reason != value.ReasonBestEffort && cost >= p.CostMicros {
			continue
		}
		quality := state.CascadeLowerBound(c.kind.Judge, first, second)
		if quality < c.kind.QualityTarget || c.cascadeLatency(cascade) > remaining {
			continue
		}
		if c.eligible(cascade.First) && c.eligible(cascade.Second) {
			p = Plan{Versions: cascade.Versions, Reason: value.ReasonCascade, CostMicros: cost, Quality: quality}
		}
	}
	return p
}

func (c *chooser) cascadeCost(cascade *state.Cascade, firstQuality float64) int64 {
	return c.kind.Judge.Cost(c.cost(cascade.First), c.cost(cascade.Second), firstQuality)
}

// cascadeLatency returns the expected time to the second version's answer if the judge rejects the
// first version's.
func (c *chooser) cascadeLatency(cascade *state.Cascade) time.Duration {
	first := c.set.Candidates[cascade.First].Version.Latency(c.request.MaxTokens)
	return first + c.kind.Judge.Latency + c.set.Candidates[cascade.Second].Version.Latency(c.request.MaxTokens)
}
