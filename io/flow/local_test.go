package flow_test

import (
	"context"
	"sync"

	"endivehitch/core/value"
	"endivehitch/io/flow"
)

// bills keeps bills in memory.
type bills struct {
	mu   sync.Mutex
	kept map[value.RequestID]value.Bill
}

// Keep stores the bill once for each request.
func (b *bills) Keep(_ context.Context, bill value.Bill) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept == nil {
		b.kept = make(map[value.RequestID]value.Bill)
	}
	if _, ok := b.kept[bill.Request]; !ok {
		b.kept[bill.Request] = bill
	}
	return nil
}

// guard keeps claims in memory.
type guard struct {
	mu     sync.Mutex
	claims map[value.IdempotencyKey]*claim
}

type claim struct {
	guard  *guard
	key    value.IdempotencyKey
	stored *flow.Stored
	doubt  bool
}

// Claim gives the key to the first caller.
func (g *guard) Claim(_ context.Context, r value.Request) (flow.Claim, *flow.Stored, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.claims == nil {
		g.claims = make(map[value.IdempotencyKey]*claim)
	}
	have, ok := g.claims[r.Key]
	switch {
	case !ok:
		c := &claim{guard: g, key: r.Key}
		g.claims[r.Key] = c
		return c, nil, nil
	case have.stored != nil:
		return nil, have.stored, nil
	case have.doubt:
		return nil, nil, value.Refusal{Reason: value.ReasonOutcomeUnknown, Detail: "an earlier run may have taken effect"}
	}
	return nil, nil, value.Refusal{Reason: value.ReasonStillRunning, Detail: "an earlier call with this key is running"}
}

func (c *claim) Finish(_ context.Context, s flow.Stored) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.stored = &s
	return nil
}

func (c *claim) Release(context.Context) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	delete(c.guard.claims, c.key)
	return nil
}

func (c *claim) Doubt(context.Context) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.doubt = true
	return nil
}
