package proof

import (
	"context"
	"errors"
	"sync"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/conf"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
	"endivehitch/io/once"
	"endivehitch/io/plat"
)

// gate is the key-value service as one instance reaches it.
type gate struct {
	plat.Store
	node *node
}

// Get implements plat.Reader.
func (g gate) Get(ctx context.Context, key string) (plat.Entry, error) {
	if err := g.node.standStill(ctx); err != nil {
		return plat.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

// List implements plat.Reader.
func (g gate) List(ctx context.Context, prefix string) (plat.Listing, error) {
	if err := g.node.standStill(ctx); err != nil {
		return plat.Listing{}, err
	}
	return g.Store.List(ctx, prefix)
}

// Swap implements plat.Writer.
func (g gate) Swap(ctx context.Context, s plat.Swap) (int64, error) {
	if err := g.node.standStill(ctx); err != nil {
		return 0, errors.Join(plat.ErrUnavailable, err)
	}
	return g.Store.Swap(ctx, s)
}

// Delete implements plat.Writer.
func (g gate) Delete(ctx context.Context, key string, expect int64) error {
	if err := g.node.standStill(ctx); err != nil {
		return errors.Join(plat.ErrUnavailable, err)
	}
	return g.Store.Delete(ctx, key, expect)
}

// biller marks the step before a bill is kept.
type biller struct {
	*bills.Biller
	node *node
}

// Keep implements flow.Biller.
func (b biller) Keep(ctx context.Context, bill value.Bill) error {
	b.node.fleet.reach(StepBill, b.node)
	if b.node.fleet.broken == LineBilled {
		return nil
	}
	return b.Biller.Keep(ctx, bill)
}

// guard marks the step before an intent is recorded.
type guard struct {
	*once.Guard
	node *node
}

// Claim implements flow.Guard.
func (g guard) Claim(ctx context.Context, r value.Request) (flow.Claim, *flow.Stored, error) {
	g.node.fleet.reach(StepIntent, g.node)
	if g.node.fleet.broken == LineOnce {
		return freeClaim{}, nil, nil
	}
	return g.Guard.Claim(ctx, r)
}

// freeClaim lets everyone run.
type freeClaim struct{}

// Finish implements flow.Claim.
func (freeClaim) Finish(context.Context, flow.Stored) error { return nil }

// Release implements flow.Claim.
func (freeClaim) Release(context.Context) error { return nil }

// Doubt implements flow.Claim.
func (freeClaim) Doubt(context.Context) error { return nil }

// sink is one caller's connection.
type sink struct {
	node *node
	text string
	done bool
}

// Begin implements flow.Sink.
func (*sink) Begin(engine.Head, value.VersionKey) error { return nil }

// Write implements flow.Sink.
func (s *sink) Write(p engine.Piece) error {
	s.text += string(p.Data)
	return nil
}

// End implements flow.Sink.
func (s *sink) End(engine.Usage) error {
	s.node.fleet.reach(StepAnswer, s.node)
	if s.node.ended() {
		return errors.New("connection closed")
	}
	s.done = true
	return nil
}

// misroute sends a run where the broken property forbids it.
func misroute(f *Fleet, b value.BackendServer, c engine.Call) (value.BackendServer, engine.Call) {
	r := f.request(c.Request)
	switch {
	case c.Version == "":
	case f.broken == LineAllowed && r.Account == smallOnly,
		f.broken == LineWithdrawn && r.Account != smallOnly && r.Pinned == "",
		f.broken == LineSession && r.Pinned != "":
		c.Version = nextVersion
	case f.broken == LineLeaving:
		b.ID = leavingServer
	}
	return b, c
}

// decode reads the desk's document, whose text is its name, and the product's own entries.
func (n *node) decode(changed []plat.Entry) (cmds.InstallRevision, error) {
	var spread cmds.InstallRevision
	var rest []plat.Entry
	for _, e := range changed {
		if e.Key != conf.DocumentKey(environment) {
			rest = append(rest, e)
			continue
		}
		spread.Accepted = value.AcceptedDocument{Document: desk(string(e.Value)), Digest: string(e.Value), Revision: e.Revision}
		if n.fleet.broken == LineConfig && string(e.Value) != firstDocument {
			spread.Accepted = value.AcceptedDocument{}
		}
	}
	c, err := conf.Decode(environment, rest...)
	spread.RollOuts, spread.Withdrawals = c.RollOuts, c.Withdrawals
	return spread, err
}

// list is the platform's instance list.
type list struct {
	mu        sync.Mutex
	away      bool
	instances []value.Instance
	servers   []value.BackendServer
}

var errAway = errors.New("instance list is away")

// Instances implements plat.InstanceList.
func (l *list) Instances(context.Context) ([]value.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return nil, errAway
	}
	return append([]value.Instance(nil), l.instances...), nil
}

// Servers implements plat.InstanceList.
func (l *list) Servers(context.Context) ([]value.BackendServer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return nil, errAway
	}
	return append([]value.BackendServer(nil), l.servers...), nil
}

func (l *list) set(change func(l *list)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *list) drop(id value.InstanceID) {
	l.set(func(l *list) {
		for i, have := range l.instances {
			if have.ID == id {
				l.instances = append(l.instances[:i:i], l.instances[i+1:]...)
				return
			}
		}
	})
}

func (l *list) retire(id value.ServerID, at time.Time) {
	l.set(func(l *list) {
		for i, b := range l.servers {
			if b.ID == id {
				l.servers[i] = b.WithState(value.ServerLeaving, at)
			}
		}
	})
}
