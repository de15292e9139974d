package carry

import (
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

const (
	// paceTokens is the least prompt that tells how fast a model reads.
	paceTokens = 1000
	// usualPace is taken for the time that a model reads a token in until some are known.
	usualPace = 20 * time.Microsecond
)

// readTime follows the time per token of runs that hardly had to wait.
var readTime = policy.QuantileConfig{Of: 0.2, Step: 0.1, MinSeen: 3}

// paces learns how fast each model reads a prompt.
type paces struct {
	mu   sync.Mutex
	seen map[relay.ModelName]policy.Quantile
}

// saw notes that the first byte of a run with so many tokens to read came after the time.
func (p *paces) saw(m relay.ModelName, tokens int, after time.Duration) {
	if tokens < paceTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = make(map[relay.ModelName]policy.Quantile)
	}
	p.seen[m] = p.seen[m].With(readTime, after/time.Duration(tokens))
}

// perToken returns the time that the model reads one token in.
func (p *paces) perToken(m relay.ModelName) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.seen[m].Value(readTime); v > 0 {
		return v
	}
	return usualPace
}
