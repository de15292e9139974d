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
		if !c.eligible(pair.First) || !c.eligible(pair.Second) {
			continue
		}
		cost, quality, latency := c.weigh(pair)
		if quality < c.kind.QualityTarget || latency > left {
			continue
		}
		if p.Reason != value.ReasonBestEffort && cost >= p.CostMicros {
			continue
		}
		p = Plan{Versions: pair.Versions, Reason: value.ReasonCascade, CostMicros: cost, Quality: quality}
	}
	return p
}

// weigh returns the cascade's expected cost, the lower bound of its quality and the time both steps take.
func (c *chooser) weigh(p *state.Pair) (int64, float64, time.Duration) {
	offers := c.menu.Offers
	first, second := offers[p.First].Bound(c.now), offers[p.Second].Bound(c.now)
	cost := p.Cost(c.kind, offers, c.request.InputTokens, c.request.MaxTokens, first.Mean)
	quality := state.CascadeLower(c.kind.Judge, first, second)
	return int64(cost), quality, p.Latency(c.kind, offers, c.request.MaxTokens)
}
