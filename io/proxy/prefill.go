package proxy

import (
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/engine"
)

const (
	// minObservedTokens is the length of the shortest prompt that is observed; the times of shorter ones
	// say too little about the model's speed.
	minObservedTokens = 1000
	// defaultTimePerToken is assumed until times of the model have been observed.
	defaultTimePerToken = 20 * time.Microsecond
)

// timePerTokenConfig estimates a low quantile, because the shortest times are those of attempts that
// hardly had to queue.
var timePerTokenConfig = policy.QuantileConfig{Level: 0.2, Step: 0.1, MinSamples: 3}

// prefillRates estimates how long each model takes to process a prompt token.
type prefillRates struct {
	mu      sync.Mutex
	byModel map[relay.ModelName]policy.Quantile
}

// observe records the time per token of an attempt, given the time until its first byte and the number
// of prompt tokens that the server had to process.
func (p *prefillRates) observe(model relay.ModelName, tokens int, elapsed time.Duration) {
	if tokens < minObservedTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byModel == nil {
		p.byModel = make(map[relay.ModelName]policy.Quantile)
	}
	p.byModel[model] = p.byModel[model].With(timePerTokenConfig, elapsed/time.Duration(tokens))
}

// timePerToken returns the time that the model takes to process one prompt token.
func (p *prefillRates) timePerToken(model relay.ModelName) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if perToken := p.byModel[model].Value(timePerTokenConfig); perToken > 0 {
		return perToken
	}
	return defaultTimePerToken
}

// learnReadingTime learns from the head of an engine's answer how long the model takes to read a prompt, and whether the
// server held the shared parts. Times are those at a server of usual speed.
func (a *attemptHandler[H]) learnReadingTime(answer *Answer[H]) {
	if answer.Confidence < 0 && !answer.Stream {
		return
	}
	d := a.dispatcher
	now := d.config.Now()
	elapsed, factor := now.Sub(a.started), a.load.cell.Get().Pace.Factor(now)
	d.prefillRates.observe(a.model(), a.prefillTokens, time.Duration(float64(elapsed)/factor))
	if a.criteria.Shared == "" {
		return
	}
	d.hits.Cell(a.service).Update(func(h engine.Hits) engine.Hits {
		return h.With(a.choice.Rank, a.criteria.Demand(), factor, elapsed)
	})
}

// compareSpeeds records for each service of engines whether its servers differ in speed.
func (d *Dispatcher[H]) compareSpeeds(s relay.State) {
	for _, service := range s.Config.Services {
		if !service.StatesCost() {
			continue
		}
		var paces []engine.Pace
		for _, server := range s.Servers(service.Name) {
			paces = append(paces, d.loads.Get(server.ID).Pace)
		}
		isUnequal := engine.IsUnequal(paces)
		d.unequal.Cell(service.Name).Update(func(bool) bool { return isUnequal })
	}
}
