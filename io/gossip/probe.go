package gossip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/value"
)

var errReplaced = errors.New("another instance answers at the address")

// probeNext advances the membership timers and probes one instance. The instance becomes suspected
// if neither it nor a helper answers, unless this process itself was paused during the probe.
func (m *membership) probeNext(ctx context.Context) error {
	if err := m.Control.Do(ctx, cmds.Tick{Timing: m.Timing}); err != nil {
		return fmt.Errorf("advance membership timers: %w", err)
	}
	start := time.Now()
	target, ok := query.ProbeTarget(m.Control.Snapshot(), m.Timing, m.rnd, start)
	if !ok || m.probe(ctx, target) {
		return nil
	}
	if ctx.Err() != nil || m.Timing.WasPausedDuringProbe(start, time.Now()) {
		return nil
	}
	if err := m.Control.Do(ctx, cmds.Suspect{ID: target.ID, Incarnation: target.Incarnation}); err != nil {
		return fmt.Errorf("suspect instance: %w", err)
	}
	return nil
}

// probe reports whether there is no reason to suspect the target: it answered a direct probe, a
// helper reached it by an indirect one, or another process answered at its address and the target
// is marked as replaced.
func (m *membership) probe(ctx context.Context, target value.Instance) bool {
	err := m.ping(ctx, target)
	if err == nil {
		return true
	}
	if errors.Is(err, errReplaced) {
		_ = m.Control.Do(ctx, cmds.MarkReplaced{ID: target.ID})
		return true
	}
	helpers := query.IndirectProbers(m.Control.Snapshot(), m.Timing, target.ID, m.rnd, time.Now())
	// An indirect probe takes the helper's own probe and the round trip to the helper.
	ctx, cancel := context.WithTimeout(ctx, 2*m.Timing.Timeout)
	defer cancel()
	results := make(chan bool, len(helpers)+1)
	for _, h := range helpers {
		go func() {
			reply, err := probeMethod.Call(ctx, m.Caller, h, wireProbe{Target: encodeInstance(target)})
			results <- err == nil && reply.Reached
		}()
	}
	// The direct probe is repeated, because a message of the first one may have been lost.
	go func() { results <- m.ping(ctx, target) == nil }()
	for range cap(results) {
		if <-results {
			return true
		}
	}
	return false
}

// ping exchanges membership updates with the instance; it returns errReplaced if the answer comes
// from another instance at the same address.
func (m *membership) ping(ctx context.Context, to value.Instance) error {
	bounded, cancel := context.WithTimeout(ctx, m.Timing.Timeout)
	defer cancel()
	message, sent := m.buildMessage(to.ID)
	reply, err := pingMethod.Call(bounded, m.Caller, to, message)
	if err != nil {
		return err
	}
	if err := m.Control.Do(ctx, sent); err != nil {
		return fmt.Errorf("count sent updates: %w", err)
	}
	if err := m.receive(ctx, reply); err != nil {
		return err
	}
	if reply.From.Instance.ID != string(to.ID) {
		return errReplaced
	}
	return nil
}

// buildMessage returns the gossip message for another instance and the command that counts the
// updates in it as sent.
func (m *membership) buildMessage(to value.InstanceID) (wirePing, cmds.CountSentUpdates) {
	snapshot := m.Control.Snapshot()
	updates := query.Updates(snapshot, m.Timing, to)
	ids := make([]value.InstanceID, 0, len(updates))
	for _, u := range updates {
		ids = append(ids, u.ID)
	}
	return wirePing{From: encodeSelf(snapshot.Self), News: encodeUpdates(updates)}, cmds.CountSentUpdates{IDs: ids}
}

// handlePing applies the message before it builds the reply, so that the reply already refutes a
// suspicion of this instance that the message reports.
func (m *membership) handlePing(p wirePing) (wirePing, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if err := m.receive(ctx, p); err != nil {
		return wirePing{}, err
	}
	reply, sent := m.buildMessage(value.InstanceID(p.From.Instance.ID))
	if err := m.Control.Do(ctx, sent); err != nil {
		return wirePing{}, fmt.Errorf("count sent updates: %w", err)
	}
	return reply, nil
}

// handleProbe probes the target on behalf of another instance.
func (m *membership) handleProbe(p wireProbe) (wireProbed, error) {
	err := m.ping(context.Background(), p.Target.value())
	return wireProbed{Reached: err == nil}, nil
}

// handleMembershipList returns all instances that this one knows of.
func (m *membership) handleMembershipList(wireRoll) (wirePing, error) {
	snapshot := m.Control.Snapshot()
	var members []value.Instance
	for _, i := range snapshot.Instances().All() {
		members = append(members, i)
	}
	return wirePing{From: encodeSelf(snapshot.Self), News: encodeUpdates(members)}, nil
}
