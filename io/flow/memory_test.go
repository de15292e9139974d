package flow_test

import (
	"context"
	"sync"

	"endivehitch/core/value"
	"endivehitch/io/flow"
)

// memoryBiller stores bills in memory.
type memoryBiller struct {
	mu        sync.Mutex
	byRequest map[value.RequestID]value.Bill
}

// StoreBill stores the first bill of each request and ignores later ones.
func (b *memoryBiller) StoreBill(_ context.Context, bill value.Bill) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byRequest == nil {
		b.byRequest = make(map[value.RequestID]value.Bill)
	}
	if _, ok := b.byRequest[bill.Request]; !ok {
		b.byRequest[bill.Request] = bill
	}
	return nil
}

// memoryGuard holds claims in memory.
type memoryGuard struct {
	mu     sync.Mutex
	claims map[value.IdempotencyKey]*memoryClaim
}

type memoryClaim struct {
	guard   *memoryGuard
	key     value.IdempotencyKey
	stored  *flow.StoredAnswer
	inDoubt bool
}

// Claim grants the key to the first caller. Later ones receive the stored answer, or a refusal if there is
// none.
func (g *memoryGuard) Claim(_ context.Context, r value.Request) (flow.Claim, *flow.StoredAnswer, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.claims == nil {
		g.claims = make(map[value.IdempotencyKey]*memoryClaim)
	}
	have, ok := g.claims[r.Key]
	switch {
	case !ok:
		c := &memoryClaim{guard: g, key: r.Key}
		g.claims[r.Key] = c
		return c, nil, nil
	case have.stored != nil:
		return nil, have.stored, nil
	case have.inDoubt:
		return nil, nil, value.Refusal{Reason: value.ReasonOutcomeUnknown, Detail: "an earlier run may have taken effect"}
	}
	return nil, nil, value.Refusal{Reason: value.ReasonStillRunning, Detail: "an earlier call with this key is running"}
}

func (c *memoryClaim) Finish(_ context.Context, s flow.StoredAnswer) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.stored = &s
	return nil
}

func (c *memoryClaim) Release(context.Context) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	delete(c.guard.claims, c.key)
	return nil
}

func (c *memoryClaim) MarkInDoubt(context.Context) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.inDoubt = true
	return nil
}
