package faults

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

// pausableStore is the key-value store as one instance uses it: reads and writes of entries wait
// while the instance is paused and fail once it has ended. Watches and leases are passed through.
type pausableStore struct {
	plat.Store
	instance *instance
}

// Get implements plat.Reader.
func (p pausableStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	if err := p.instance.waitWhilePaused(ctx); err != nil {
		return plat.Entry{}, err
	}
	return p.Store.Get(ctx, key)
}

// List implements plat.Reader.
func (p pausableStore) List(ctx context.Context, prefix string) (plat.Listing, error) {
	if err := p.instance.waitWhilePaused(ctx); err != nil {
		return plat.Listing{}, err
	}
	return p.Store.List(ctx, prefix)
}

// Swap implements plat.Writer.
func (p pausableStore) Swap(ctx context.Context, s plat.Swap) (int64, error) {
	if err := p.instance.waitWhilePaused(ctx); err != nil {
		return 0, errors.Join(plat.ErrUnavailable, err)
	}
	return p.Store.Swap(ctx, s)
}

// Delete implements plat.Writer.
func (p pausableStore) Delete(ctx context.Context, key string, expect int64) error {
	if err := p.instance.waitWhilePaused(ctx); err != nil {
		return errors.Join(plat.ErrUnavailable, err)
	}
	return p.Store.Delete(ctx, key, expect)
}

// stepBiller reports StepRecordBill before a bill is stored.
type stepBiller struct {
	*bills.Biller
	instance *instance
}

// StoreBill implements flow.Biller.
func (b stepBiller) StoreBill(ctx context.Context, bill value.Bill) error {
	b.instance.fleet.reachStep(StepRecordBill, b.instance)
	if b.instance.fleet.brokenInvariant == InvariantBilledOnce {
		return nil
	}
	return b.Biller.StoreBill(ctx, bill)
}

// stepGuard reports StepRecordIntent before an intent is recorded.
type stepGuard struct {
	*once.Guard
	instance *instance
}

// Claim implements flow.IdempotencyGuard.
func (g stepGuard) Claim(ctx context.Context, r value.Request) (flow.Claim, *flow.StoredAnswer, error) {
	g.instance.fleet.reachStep(StepRecordIntent, g.instance)
	if g.instance.fleet.brokenInvariant == InvariantAtMostOnce {
		return noopClaim{}, nil, nil
	}
	return g.Guard.Claim(ctx, r)
}

// noopClaim is a claim that does not keep the request from running again; it simulates a broken
// idempotency guard.
type noopClaim struct{}

// Finish implements flow.Claim.
func (noopClaim) Finish(context.Context, flow.StoredAnswer) error { return nil }

// Release implements flow.Claim.
func (noopClaim) Release(context.Context) error { return nil }

// MarkInDoubt implements flow.Claim.
func (noopClaim) MarkInDoubt(context.Context) error { return nil }

// responseWriter is one caller's connection, which collects the answer's text.
type responseWriter struct {
	instance *instance
	text     string
	ended    bool
}

// WriteHead implements flow.ResponseWriter.
func (*responseWriter) WriteHead(engine.Head, value.VersionKey) error { return nil }

// Write implements flow.ResponseWriter.
func (w *responseWriter) Write(p engine.Piece) error {
	w.text += string(p.Data)
	return nil
}

// End implements flow.ResponseWriter.
func (w *responseWriter) End(engine.Usage) error {
	w.instance.fleet.reachStep(StepAnswer, w.instance)
	if w.instance.hasEnded() {
		return errors.New("connection closed")
	}
	w.ended = true
	return nil
}

// misroute replaces the server or the version of a call by one that the broken invariant forbids,
// and changes nothing if no such invariant is broken.
func misroute(fleet *Fleet, server value.BackendServer, call engine.Call) (value.BackendServer, engine.Call) {
	request := fleet.requestByID(call.Request)
	switch {
	case call.Version == "":
		// A plain service has no versions.
	case fleet.brokenInvariant == InvariantAllowedVersion && request.Account == smallOnly,
		fleet.brokenInvariant == InvariantWithdrawnGetsNoWork && request.Account != smallOnly && request.Pinned == "",
		fleet.brokenInvariant == InvariantSessionKeepsVersion && request.Pinned != "":
		call.Version = nextVersion
	case fleet.brokenInvariant == InvariantLeavingGetsNoWork:
		server.ID = leavingServer
	}
	return server, call
}

// decodeConfig decodes changed store entries: the scenario's document, whose entry holds only its
// name, and the roll-outs and withdrawals, which have the product's own encoding.
func (n *instance) decodeConfig(changed []plat.Entry) (cmds.InstallRevision, error) {
	var install cmds.InstallRevision
	var otherEntries []plat.Entry
	for _, e := range changed {
		if e.Key != conf.DocumentKey(environment) {
			otherEntries = append(otherEntries, e)
			continue
		}
		install.Accepted = value.AcceptedDocument{Document: scenarioDocument(string(e.Value)), Digest: string(e.Value), Revision: e.Revision}
		if n.fleet.brokenInvariant == InvariantConfigInForce && string(e.Value) != firstDocument {
			install.Accepted = value.AcceptedDocument{}
		}
	}
	decoded, err := conf.Decode(environment, otherEntries...)
	install.RollOuts, install.Withdrawals = decoded.RollOuts, decoded.Withdrawals
	return install, err
}

// instanceList is the platform's list of instances and backend servers.
type instanceList struct {
	mu          sync.Mutex
	unreachable bool
	instances   []value.Instance
	servers     []value.BackendServer
}

var errListUnreachable = errors.New("instance list is unreachable")

// Instances implements plat.InstanceList.
func (l *instanceList) Instances(context.Context) ([]value.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return nil, errListUnreachable
	}
	return append([]value.Instance(nil), l.instances...), nil
}

// Servers implements plat.InstanceList.
func (l *instanceList) Servers(context.Context) ([]value.BackendServer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return nil, errListUnreachable
	}
	return append([]value.BackendServer(nil), l.servers...), nil
}

func (l *instanceList) update(change func(l *instanceList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *instanceList) removeInstance(id value.InstanceID) {
	l.update(func(l *instanceList) {
		for i, listed := range l.instances {
			if listed.ID == id {
				l.instances = append(l.instances[:i:i], l.instances[i+1:]...)
				return
			}
		}
	})
}

func (l *instanceList) markLeaving(id value.ServerID, at time.Time) {
	l.update(func(l *instanceList) {
		for i, b := range l.servers {
			if b.ID == id {
				l.servers[i] = b.WithState(value.ServerLeaving, at)
			}
		}
	})
}
